/**
 * A body that comes in pieces.
 */
import type { RandomSource } from '@baobabline/core';

import { drawBetween } from './draw-between.js';
import type { CallerKind, RequestDraft } from './types.js';

export class SlowSender implements CallerKind {
  readonly name = 'slow-sender';

  drawTurn(random: RandomSource): readonly RequestDraft[] {
    return [
      {
        method: 'POST',
        timeLimitMs: 2000,
        workMs: drawBetween(random, 20, 250),
        bodyBytes: drawBetween(random, 2000, 90_000),
        pieces: drawBetween(random, 2, 7),
        pieceGapMs: drawBetween(random, 10, 120),
      },
    ];
  }
}
