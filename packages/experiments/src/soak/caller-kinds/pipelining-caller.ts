/**
 * Several safe requests at a time.
 */
import type { RandomSource } from '@baobabline/core';

import { drawBetween } from './draw-between.js';
import type { CallerKind, RequestDraft } from './types.js';

export class PipeliningCaller implements CallerKind {
  readonly name = 'pipelining';

  drawTurn(random: RandomSource): readonly RequestDraft[] {
    return Array.from({ length: drawBetween(random, 2, 6) }, () => ({
      method: 'GET',
      timeLimitMs: 2000,
      workMs: drawBetween(random, 20, 200),
    }));
  }
}
