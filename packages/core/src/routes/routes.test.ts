import { expect } from 'chai';
import { mock } from 'node:test';

import { WeightedRoundRobin, RouteTable } from './index.js';
import type { Route, RoutingConfiguration } from './index.js';

function buildRoute(id: string, prefix: string, changes: Partial<Route> = {}): Route {
  return {
    id,
    host: 'a.example',
    prefix,
    kind: 'safe',
    parts: [{ service: 's', weight: 1 }],
    timeoutMs: 1000,
    targetLatencyMs: 500,
    maxAttempts: 2,
    priority: 0,
    ...changes,
  };
}

function buildConfiguration(routes: readonly Route[]): RoutingConfiguration {
  return {
    version: 1,
    routes: [...routes],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

describe('RouteTable', () => {
  const table = new RouteTable(
    buildConfiguration([
      buildRoute('short', '/a/'),
      buildRoute('long', '/a/b/'),
      buildRoute('other', '/a/b/', { host: 'b.example' }),
    ]),
  );

  it('finds the route with the longest matching prefix among the routes of the host', () => {
    expect(table.find('a.example', '/a/b/c')?.id).to.equal('long');
    expect(table.find('A.example:8080', '/a/bc')?.id).to.equal('short');
    expect(table.find('b.example', '/a/b/')?.id).to.equal('other');
    expect(table.find('b.example', '/a/x')).to.equal(undefined);
    expect(table.find('c.example', '/a/b/')).to.equal(undefined);
    expect(table.find('a.example', '/a')).to.equal(undefined);
  });

  // A path of thousands of slashes held the process up: each of its parts was looked up, from the longest.
  it('looks up no more parts of a path than there are lengths of prefixes', () => {
    const has = mock.method(Map.prototype, 'has');
    [1000, 2000].forEach((slashes) => table.find('a.example', `/a/${'/'.repeat(slashes)}`));
    has.mock.restore();
    const parts = has.mock.calls.map(({ arguments: [part] }) => part as unknown);
    expect(parts).to.deep.equal(['/a///', '/a/', '/a///', '/a/']);
  });

  it('ignores the query', () => {
    expect(table.find('a.example', '/a/x?to=/a/b/')?.id).to.equal('short');
    expect(table.find('a.example', '/x?to=/a/b/')).to.equal(undefined);
  });
});

describe('WeightedRoundRobin', () => {
  it('splits every 100 consecutive requests exactly by weight', () => {
    const chooser = new WeightedRoundRobin();
    const route = buildRoute('r', '/a/', {
      parts: [
        { service: 'x', weight: 90 },
        { service: 'y', weight: 10 },
      ],
    });
    const chosen = Array.from({ length: 300 }, () => chooser.choose(route));
    const shares = [0, 100, 150].map(
      (from) => chosen.slice(from, from + 100).filter((service) => service === 'y').length,
    );
    expect(shares).to.deep.equal([10, 10, 10]);
  });

  it('applies new weights at once and sends no requests to a part of weight 0', () => {
    const chooser = new WeightedRoundRobin();
    const before = buildRoute('r', '/a/', {
      parts: [
        { service: 'x', weight: 1 },
        { service: 'y', weight: 1 },
      ],
    });
    Array.from({ length: 7 }, () => chooser.choose(before));
    const after = {
      ...before,
      parts: [
        { service: 'x', weight: 0 },
        { service: 'y', weight: 5 },
      ],
    };
    const chosen = Array.from({ length: 50 }, () => chooser.choose(after));
    expect(new Set(chosen)).to.deep.equal(new Set(['y']));
  });
});
