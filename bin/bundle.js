/**
 * Bundles the program for the platform into one file, straight from the sources: a daemon that
 * starts again is charged for every module that it loads.
 */
import { build } from 'esbuild';
import process from 'node:process';

const WORKSPACES = {
  '@baobabline/core': './packages/core/src/index.ts',
  '@baobabline/daemon': './packages/daemon/src/index.ts',
  '@baobabline/gateway': './packages/gateway/src/index.ts',
};

// Libraries in CommonJS call require, which a module does not have.
const REQUIRE_BANNER = [
  "import { createRequire as createBundleRequire } from 'node:module';",
  'const require = createBundleRequire(import.meta.url);',
].join('\n');

async function buildBundle() {
  await build({
    entryPoints: ['platform/src/bin.ts'],
    outfile: 'target/baobabline.mjs',
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    alias: WORKSPACES,
    banner: { js: REQUIRE_BANNER },
    minify: true,
    keepNames: true,
    legalComments: 'none',
    logLevel: 'error',
  });
}

buildBundle().catch(() => process.exit(1));
