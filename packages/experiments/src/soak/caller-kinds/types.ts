/**
 * What kinds of callers have in common.
 */
import type { RandomSource } from '@baobabline/core';
import type { ConnectionRequest } from '@baobabline/stand-ins';

/** A request without its id and its path; the path states the work that it asks for. */
export type RequestDraft = Omit<ConnectionRequest, 'id' | 'host' | 'path'> & {
  readonly workMs: number;
  /** Length of the answer that it asks for. */
  readonly answerBytes?: number;
};

export interface CallerKind {
  readonly name: string;
  /** The requests of one turn; all are sent before the first of them is answered. */
  drawTurn(random: RandomSource): readonly RequestDraft[];
}
