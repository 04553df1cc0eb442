import { expect } from 'chai';

import type { ClientAccount } from '../accounts/index.js';
import type { Route, RoutingConfiguration } from '../routes/index.js';
import { judgeConfiguration } from './index.js';
import type { ConfigurationReview } from './index.js';

const WINDOW_MS = 5000;

function buildRoute(id: string, changes: Partial<Route> = {}): Route {
  return {
    id,
    host: 'a.example',
    prefix: `/${id}/`,
    kind: 'safe',
    parts: [{ service: 's', weight: 1 }],
    timeoutMs: 1000,
    targetLatencyMs: 500,
    maxAttempts: 2,
    priority: 0,
    ...changes,
  };
}

function buildAccount(name: string, changes: Partial<ClientAccount> = {}): ClientAccount {
  return { name, keyDigests: [`digest-of-${name}`], ratePerSecond: 10, burst: 20, ...changes };
}

function buildConfiguration(changes: Partial<RoutingConfiguration> = {}): RoutingConfiguration {
  return {
    version: 2,
    routes: [buildRoute('read')],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 500, idleTimeoutMs: 5000 },
    accounts: [buildAccount('one')],
    ...changes,
  };
}

function judge(
  changes: Partial<RoutingConfiguration>,
  inForce?: RoutingConfiguration,
): ConfigurationReview {
  return judgeConfiguration(buildConfiguration(changes), inForce, WINDOW_MS);
}

/** Lists the findings in short: kind, place and the words that a message has to hold. */
function listFindings(changes: Partial<RoutingConfiguration>): readonly string[] {
  return judge(changes).findings.map(({ kind, place, message }) => `${kind} ${place}: ${message}`);
}

describe('the review of a configuration', () => {
  it('finds nothing in a sound one', () => {
    expect(judge({}, buildConfiguration())).to.deep.equal({ findings: [], differences: [] });
  });

  // Such entries are accepted without a word, and their author believes that they have an effect.
  it('finds entries that can never match, as the table of routes decides it', () => {
    const found = listFindings({
      routes: [
        buildRoute('hidden', { prefix: '/x/', host: 'A.example' }),
        buildRoute('last', { prefix: '/x/' }),
        buildRoute('port', { host: 'a.example:80' }),
        buildRoute('query', { prefix: '/a?b/' }),
        buildRoute('split', {
          parts: [
            { service: 's', weight: 0 },
            { service: 't', weight: 1 },
          ],
        }),
        buildRoute('none', { parts: [{ service: 's', weight: 0 }] }),
      ],
      accounts: [buildAccount('locked', { keyDigests: [] })],
    });
    expect(found).to.have.length(6);
    expect(found[0]).to.match(/^dead-entry route hidden: is hidden by route last/);
    expect(found[1]).to.match(/^dead-entry route port: matches no request/);
    expect(found[2]).to.match(/^dead-entry route query: matches no request/);
    expect(found[3]).to.equal('dead-entry route split: service s has weight 0');
    expect(found[4]).to.equal('dead-entry route none: all of its services have weight 0');
    expect(found[5]).to.match(/^dead-entry account locked: has no key/);
    const onlyPublic = listFindings({ routes: [buildRoute('open', { isPublic: true })] });
    expect(onlyPublic).to.have.length(1);
  });

  it('finds limits that contradict each other', () => {
    const found = listFindings({
      limits: { maxHeaderBytes: 1, maxBodyBytes: 0, headerTimeoutMs: 6000, idleTimeoutMs: 5000 },
      routes: [
        buildRoute('late', { targetLatencyMs: 1001 }),
        buildRoute('long', { timeoutMs: 5001 }),
        buildRoute('never', { timeoutMs: 0 }),
        buildRoute('twice'),
        buildRoute('twice', { host: 'b.example' }),
        buildRoute('upload', { kind: 'upload' }),
      ],
      accounts: [
        buildAccount('edge', { burst: 50 }),
        buildAccount('high', { burst: 51 }),
        buildAccount('unlimited', { ratePerSecond: undefined }),
        buildAccount('shut', { burst: 0 }),
      ],
    });
    expect(found.map((line) => line.split(':')[0])).to.deep.equal([
      'contradiction route twice',
      'contradiction limits',
      'contradiction route late',
      'contradiction route long',
      'contradiction route never',
      'contradiction route upload',
      'contradiction account high',
      'contradiction account unlimited',
      'contradiction account shut',
    ]);
  });

  it('shows what differs from the one in force, and of keys no more than their number', () => {
    const inForce = buildConfiguration({
      version: 1,
      routes: [buildRoute('read'), buildRoute('gone')],
      accounts: [buildAccount('one'), buildAccount('left')],
    });
    const { findings, differences } = judge(
      {
        routes: [buildRoute('read', { timeoutMs: 2000 }), buildRoute('new')],
        accounts: [buildAccount('one', { keyDigests: ['digest-of-other'], burst: 30 })],
      },
      inForce,
    );
    expect(findings).to.deep.equal([]);
    expect(differences).to.deep.equal([
      { place: 'configuration', change: 'changed', fields: { version: ['1', '2'] } },
      { place: 'route read', change: 'changed', fields: { timeoutMs: ['1000', '2000'] } },
      { place: 'route gone', change: 'removed', fields: {} },
      { place: 'route new', change: 'added', fields: {} },
      {
        place: 'account one',
        change: 'changed',
        fields: { burst: ['20', '30'], keys: ['1', '1 (1 added, 1 removed)'] },
      },
      { place: 'account left', change: 'removed', fields: {} },
    ]);
    expect(JSON.stringify(differences)).not.to.match(/digest-of/);
  });

  // Daemons keep the higher version without a word, and the change would seem to have been lost.
  it('takes a change without a higher version for an error', () => {
    const { findings } = judge({ routes: [buildRoute('other')] }, buildConfiguration());
    expect(findings.map(({ kind, place }) => [kind, place])).to.deep.equal([
      ['error', 'configuration'],
    ]);
  });
});
