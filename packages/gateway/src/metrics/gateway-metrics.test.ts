import { expect } from 'chai';
import { setImmediate as waitForEvents } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { buildAnswerEnd, buildRoutedRequest } from '../requests/request-fixtures.js';
import type { RequestEnd } from '../requests/index.js';
import { GatewayMetrics } from './gateway-metrics.js';
import type { MetricsSource } from './metrics-registry.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function buildEnd(): RequestEnd {
  const end = buildAnswerEnd(200);
  if (end.kind !== 'answered') throw new Error('not an answer');
  return { kind: 'answered', answer: end.answer, upstreamId: 'u1' };
}

describe('the metrics of a gateway', () => {
  // An answer of megabytes was held for each observation until somebody fetched the metrics.
  it('hold no answer while nobody has fetched them', async () => {
    const metrics = new GatewayMetrics({} as MetricsSource, () => undefined);
    const recordOne = (): WeakRef<RequestEnd> => {
      const end = buildEnd();
      metrics.recordEnd(buildRoutedRequest('r', 0, 'safe'), end, 10);
      return new WeakRef(end);
    };
    const ends = Array.from({ length: 10 }, recordOne);
    await waitForEvents();
    collectGarbage();
    expect(ends.filter((end) => end.deref() !== undefined)).to.have.length(0);
    metrics.recordRefusal(1);
  });
});
