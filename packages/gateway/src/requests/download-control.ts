/**
 * What decides whether a download is sent, as a request sees it. Requests of other kinds pass.
 */
import type { RequestError } from '@baobabline/core';

import type { RequestStep, RoutedRequest } from './types.js';

/** Why a download is not sent, and the line of it for the log. */
export type DownloadRefusal = { readonly step: RequestStep; readonly error: RequestError };

export interface DownloadControl {
  /** Returns why a request is refused; `attemptMs` is how long its answer usually takes. */
  checkDelivery(request: RoutedRequest, attemptMs: number): DownloadRefusal | undefined;

  /** Whether one more attempt may be sent; refuses nothing. */
  canDeliver(request: RoutedRequest, attemptMs: number): boolean;

  /** Takes note of an attempt, and returns the bytes to reserve for its answer and what ends it. */
  expectAnswer(request: RoutedRequest): { readonly bytes: number; readonly end: () => void };

  /** Records the size of a good answer. */
  recordAnswer(request: RoutedRequest, bytes: number): void;
}
