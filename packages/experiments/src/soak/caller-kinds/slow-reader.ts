/**
 * A long answer that is read slowly.
 */
import type { RandomSource } from '@baobabline/core';

import { drawBetween } from './draw-between.js';
import type { CallerKind, RequestDraft } from './types.js';

export class SlowReader implements CallerKind {
  readonly name = 'slow-reader';

  drawTurn(random: RandomSource): readonly RequestDraft[] {
    return [
      {
        method: 'GET',
        timeLimitMs: 2500,
        workMs: drawBetween(random, 20, 200),
        answerBytes: drawBetween(random, 300_000, 3_000_000),
        readPauseMs: drawBetween(random, 5, 25),
      },
    ];
  }
}
