/**
 * Admits downloads: learns how large their answers are, reserves memory for those that are sent, and
 * refuses those whose answers could not be held or delivered. Inactive while no route is a download.
 */
import {
  AnswerSizes,
  computeRequestWeight,
  createRefusal,
  judgeDownload,
  LinkSchedule,
  RequestBytes,
} from '@baobabline/core';
import type {
  Clock,
  DownloadVerdict,
  Route,
  RoutingConfiguration,
  VmResources,
} from '@baobabline/core';

import type { HeldBytes } from '../held-bytes/index.js';
import type { DownloadControl, DownloadRefusal, RoutedRequest } from '../requests/index.js';

export type DownloadGatePorts = {
  readonly clock: Clock;
  readonly machine: VmResources;
  readonly heldBytes: HeldBytes;
  readonly onRefused: (cause: 'link' | 'memory') => void;
};

/** What an operator sees of the memory and the link. */
export type DownloadState = {
  readonly heldBytes: number;
  readonly maxHeldBytes: number;
  /** Bytes that the link still has to pass on, those of expected answers included. */
  readonly linkBytes: number;
  /** Bytes that a request moves in each direction, as the advertised load counts them. */
  readonly requestBytes: number;
};

const MS_PER_SECOND = 1000;
const DETAILS: Readonly<Record<'link' | 'memory', string>> = {
  link: 'The answer could not be delivered before the deadline',
  memory: 'There is no room to hold the answer',
};

function isDownload({ kind }: Route): boolean {
  return kind === 'download';
}

export class DownloadGate implements DownloadControl {
  readonly #ports: DownloadGatePorts;

  readonly #sizes = new AnswerSizes();

  readonly #link: LinkSchedule;

  readonly #requestBytes = new RequestBytes();

  #isActive = false;

  constructor(ports: DownloadGatePorts) {
    this.#ports = ports;
    this.#link = new LinkSchedule(ports.machine.linkMegabitsPerSecond, ports.clock);
  }

  /** Whether the configuration in force has a download route. */
  get isActive(): boolean {
    return this.#isActive;
  }

  applyConfiguration({ routes }: RoutingConfiguration): void {
    const downloads = routes.filter(isDownload);
    this.#isActive = downloads.length > 0;
    this.#sizes.keep(new Set(downloads.map(({ id }) => id)));
    this.#ports.heldBytes.setMayEvictUnread(this.#isActive);
  }

  checkDelivery(request: RoutedRequest, attemptMs: number): DownloadRefusal | undefined {
    if (!isDownload(request.route)) return undefined;
    const verdict = this.#judge(request, attemptMs);
    if (verdict.kind === 'send') return undefined;
    const { cause, deliveryMs } = verdict;
    const { meanBytes, highBytes } = this.#sizes.getExpected(request.route.id);
    const retryAfterMs = verdict.retryAfterMs + this.#link.recordPromise(meanBytes);
    this.#ports.onRefused(cause);
    return {
      step: {
        step: 'undeliverable',
        cause,
        highBytes,
        deliveryMs: Math.round(deliveryMs),
        retryAfterMs: Math.round(retryAfterMs),
        ...this.describe(),
      },
      error: createRefusal('noCapacity', {
        detail: DETAILS[cause],
        retryAfterSeconds: retryAfterMs / MS_PER_SECOND,
      }),
    };
  }

  canDeliver(request: RoutedRequest, attemptMs: number): boolean {
    return !isDownload(request.route) || this.#judge(request, attemptMs).kind === 'send';
  }

  expectAnswer({ route }: RoutedRequest): { readonly bytes: number; readonly end: () => void } {
    if (!isDownload(route)) return { bytes: 0, end: () => undefined };
    const { meanBytes, highBytes } = this.#sizes.getExpected(route.id);
    const bytes = this.#ports.heldBytes.computeReservation(highBytes);
    return { bytes, end: this.#link.expect(meanBytes) };
  }

  recordAnswer({ route }: RoutedRequest, bytes: number): void {
    if (isDownload(route)) this.#sizes.record(route.id, bytes);
  }

  /** Records the body of a request or its head as it is written to an upstream. */
  recordSent(bytes: number): void {
    if (this.#isActive) this.#link.recordWritten(bytes);
  }

  /** Records the body of an answer of any kind as it is written to a caller. */
  recordAnswered({ bodyBytes }: RoutedRequest, answerBytes: number): void {
    if (!this.#isActive) return;
    this.#link.recordWritten(answerBytes);
    this.#requestBytes.record(bodyBytes + answerBytes);
  }

  /** How many usual requests one counts for in the advertised load; 1 without downloads. */
  computeRequestWeight(): number {
    if (!this.#isActive) return 1;
    return computeRequestWeight(this.#ports.machine, this.#requestBytes.mean);
  }

  describe(): DownloadState {
    const { heldBytes } = this.#ports;
    return {
      heldBytes: heldBytes.total,
      maxHeldBytes: heldBytes.maxBytes,
      linkBytes: Math.round(this.#link.writtenBytes + this.#link.expectedBytes),
      requestBytes: Math.round(this.#requestBytes.mean),
    };
  }

  #judge({ route, endAt }: RoutedRequest, attemptMs: number): DownloadVerdict {
    const { heldBytes } = this.#ports;
    const size = this.#sizes.getExpected(route.id);
    return judgeDownload({
      size,
      attemptMs,
      bytesPerMs: this.#link.bytesPerMs,
      writtenBytes: this.#link.writtenBytes,
      expectedBytes: this.#link.expectedBytes,
      timeLeftMs: endAt - this.#ports.clock.now(),
      missingBytes: heldBytes.evictUnreadFor(heldBytes.computeReservation(size.highBytes)),
    });
  }
}
