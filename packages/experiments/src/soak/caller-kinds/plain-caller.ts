/**
 * One request after the other, with one deadline; most may run only once.
 */
import type { RandomSource } from '@baobabline/core';

import { drawBetween } from './draw-between.js';
import type { CallerKind, RequestDraft } from './types.js';

export class PlainCaller implements CallerKind {
  readonly name: string;

  readonly #timeLimitMs: number;

  readonly #workMs: readonly [least: number, most: number];

  constructor(timeLimitMs: number, workMs: readonly [least: number, most: number]) {
    this.name = `plain-${timeLimitMs}`;
    this.#timeLimitMs = timeLimitMs;
    this.#workMs = workMs;
  }

  drawTurn(random: RandomSource): readonly RequestDraft[] {
    const method = random.next() < 0.7 ? 'POST' : 'GET';
    return [
      { method, timeLimitMs: this.#timeLimitMs, workMs: drawBetween(random, ...this.#workMs) },
    ];
  }
}
