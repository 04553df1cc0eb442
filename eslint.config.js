/**
 * Airbnb's rules in their maintained form for ESLint 9, with the house rules on top: verbs in
 * front, array methods for control flow, named exports.
 */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import regexp from 'eslint-plugin-regexp';

import { VERBS } from './bin/verbs.js';

const verbPattern = `/^(${VERBS.join('|')})([A-Z].*)?$/`;
const verbMessage = 'Functions begin with a verb from docs/VERBS.md.';

export default [
  { ignores: ['**/dist/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    // Expressions whose time grows faster than the text: whoever sends the text could stop the process.
    plugins: { regexp },
    rules: {
      'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
      'regexp/no-super-linear-move': ['error', { report: 'potential' }],
    },
  },
  {
    rules: {
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-cycle': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      'no-underscore-dangle': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'ForStatement', message: 'Use array methods.' },
        { selector: 'ForInStatement', message: 'Use array methods.' },
        { selector: 'ForOfStatement', message: 'Use array methods.' },
        { selector: 'WhileStatement', message: 'Use array methods.' },
        { selector: `FunctionDeclaration[id.name!=${verbPattern}]`, message: verbMessage },
        {
          selector: `MethodDefinition[kind='method'][key.type='Identifier'][key.name!=${verbPattern}]`,
          message: verbMessage,
        },
        {
          selector: `MethodDefinition[kind='method'][key.type='PrivateIdentifier'][key.name!=${verbPattern}]`,
          message: verbMessage,
        },
      ],
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      // Interfaces are for behaviour that varies, type aliases for data.
      '@typescript-eslint/consistent-type-definitions': 'off',
      // The classes of modern-errors are errors, but the rule's type check does not see it.
      '@typescript-eslint/only-throw-error': 'off',
    },
  },
  {
    files: ['eslint.config.js'],
    rules: { 'import-x/no-default-export': 'off' },
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off', 'no-unused-expressions': 'off' },
  },
];
