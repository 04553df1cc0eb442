/**
 * The requests that wait at a service's queue, and what the queue depends on.
 */
import type {
  Clock,
  QueuedRequest,
  RandomSource,
  RefusalReason,
  SlidingWindowRetryBudgetSettings,
} from '@baobabline/core';

/** A queued request, with callbacks that place or refuse it. */
export type QueuedPlacement = QueuedRequest & {
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether it may find no upstream although others do; it holds nothing up behind it. */
  readonly hasLargeBody?: boolean;
  /** Tries to place the request; returns whether it can leave the queue. */
  readonly tryPlace: () => boolean;
  /** Called when the latest time at which it may be sent has passed. */
  readonly onExpired: () => void;
  /** Called when it could only be sent too late. */
  readonly onHopeless: (reason: RefusalReason, retryAfterMs: number) => void;
};

export type ServiceOverload = {
  readonly refused: ReadonlyMap<RefusalReason, number>;
  readonly accountsOverShare: readonly string[];
};

export type ServiceQueuePorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly allowance: SlidingWindowRetryBudgetSettings;
  /** Counts the slots that this daemon may use, given the mean time of an attempt. */
  readonly countSlots: (now: number, meanAttemptMs: number) => number;
  /** Whether most upstreams of the service shed requests at random. */
  readonly hasRandomShedding: () => boolean;
  /** Counts the slots of the service that may be used, by this daemon and others. */
  readonly countAllSlots: () => number;
  /** Returns this daemon's part of an account's requests; undefined if it is unknown. */
  readonly findOwnPart: (accountName: string) => number | undefined;
};
