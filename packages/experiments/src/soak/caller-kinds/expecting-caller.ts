/**
 * Asks whether its body is welcome before it sends it.
 */
import type { RandomSource } from '@baobabline/core';

import { drawBetween } from './draw-between.js';
import type { CallerKind, RequestDraft } from './types.js';

export class ExpectingCaller implements CallerKind {
  readonly name = 'expecting';

  drawTurn(random: RandomSource): readonly RequestDraft[] {
    return [
      {
        method: 'POST',
        timeLimitMs: 1000,
        workMs: drawBetween(random, 20, 250),
        bodyBytes: drawBetween(random, 100, 50_000),
        waitsForContinue: true,
      },
    ];
  }
}
