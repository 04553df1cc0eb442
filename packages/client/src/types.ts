/**
 * What a caller asks of the fleet and what it gets back.
 */

export type Address = { readonly address: string; readonly port: number };

export type ClientSettings = {
  readonly customer: string;
  readonly dataCentre?: string | undefined;
  /** Addresses of a few daemons, used until the first entry answer. */
  readonly seeds: readonly Address[];
};

export type CallerRequest = {
  readonly service: string;
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  readonly body?: Buffer | string | undefined;
  readonly deadlineMs: number;
  readonly repeatable: boolean;
  readonly headers?: Readonly<Record<string, string>> | undefined;
  readonly requestId?: string | undefined;
};

export type CallerAnswer = {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  readonly requestId: string;
  readonly operation: string;
  readonly tries: number;
};

export type CallerFailure = {
  readonly kind: 'not-run' | 'unknown';
  /** Numbered result code; 0 when no daemon answered. */
  readonly code: number;
  readonly detail: string;
  /** When the fleet asked to come back; 0 if it did not. */
  readonly retryAfterSeconds?: number | undefined;
  readonly requestId: string;
  readonly operation: string;
  readonly tries: number;
};

export type CallerResult = CallerAnswer | CallerFailure;

/** One entry answer. */
export type EntryAnswer = {
  readonly entries: readonly (Address & { readonly id: string; readonly dataCentre: string })[];
  readonly holdSeconds: number;
  readonly keyPrefix: string;
};
