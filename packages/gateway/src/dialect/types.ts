/**
 * Interfaces that a platform implements for the gateway. A dialect translates between the gateway's
 * types and the header and field names that a platform uses on the wire; it contains no decisions.
 */
import type { RateLimitStatement, StoreChanges } from '@baobabline/core';

/** Headers as Node.js provides them: names in lower case, repeated headers joined or as a list. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

export type HeaderPair = readonly [name: string, value: string];

/** What the headers of a caller's request state. */
export type CallerHead = {
  /** Undefined if the caller sent none. */
  readonly requestId: string | undefined;
  /** How long the caller waits for the answer, in milliseconds from the arrival of the request. */
  readonly timeAllowedMs: number | undefined;
};

/** What the headers of an upstream's answer state. */
export type AnswerHead = {
  /** Id of the request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the upstream states that it did not run the request, and never will. */
  readonly isNotRun: boolean;
  /** Whether the answer carries the upstream's signature, which every successful answer must have. */
  readonly isSigned: boolean;
  /** Number of requests running and waiting at the upstream, from all callers. */
  readonly load: { readonly running: number; readonly waiting: number } | undefined;
  /** How long the upstream keeps an idle connection, in milliseconds. */
  readonly keepAliveMs: number | undefined;
  /** Rate limit that the upstream sets to the whole fleet, in requests per second. */
  readonly rateLimit: RateLimitStatement;
  /** Whether the upstream states that it is about to end, which holds until it has ended. */
  readonly isLeaving: boolean;
};

/** What the gateway states in the headers of a request to an upstream. */
export type UpstreamHead = {
  readonly requestId: string;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /** Id of the only upstream that may run the request. */
  readonly upstreamId: string;
  /** Name of the client account whose key the request bore; undefined if it needs none. */
  readonly accountName: string | undefined;
};

export interface HttpDialect {
  /** Names, in lower case, of headers that the gateway sets itself and never forwards. */
  readonly ownHeaders: ReadonlySet<string>;
  /** The same, but only where the configuration has client accounts. */
  readonly accountHeaders: ReadonlySet<string>;
  /** The scheme of the `Authorization` header that carries a key, in lower case. */
  readonly keyScheme: string;
  readCallerHead(headers: HeaderMap): CallerHead;
  readAnswerHead(status: number, headers: HeaderMap): AnswerHead;
  buildUpstreamHeaders(head: UpstreamHead): readonly HeaderPair[];
}

/** Query of a caller to the directory. */
export type DirectoryQuery = {
  readonly dataCentre: string | undefined;
};

export type DirectoryResponse = {
  readonly endpoints: readonly { readonly address: string; readonly port: number }[];
  /** How long a caller may cache the response, in seconds. */
  readonly holdSeconds: number;
};

export interface DirectoryDialect {
  readonly directoryPath: string;
  readonly readinessPath: string;
  readDirectoryQuery(query: Readonly<Record<string, unknown>>): DirectoryQuery;
  buildDirectoryResponse(answer: DirectoryResponse): unknown;
}

/** An answer of the source of the published records. */
export type SourceAnswer<Changes> = {
  /** Rises each time the source comes back from an older copy; undefined if it states none. */
  readonly era: number | undefined;
  readonly changes: Changes;
};

/**
 * Source of the published records. Calls reject if it does not respond, and with SourceRefusedError if it
 * refuses them.
 */
export interface RecordSource {
  /** Reads all records. */
  readAll(): Promise<SourceAnswer<StoreChanges>>;
  /**
   * Waits up to `waitMs` for changes after a revision; without changes if the source does not have
   * the history since that revision.
   */
  watch(afterRevision: number, waitMs: number): Promise<SourceAnswer<StoreChanges | undefined>>;
  close(): void;
}

/** Called with the key of a record that cannot be used, and the reason. */
export type RecordFaultHandler = (key: string, reason: string) => void;

/** Everything in the gateway that depends on the platform. */
export type PlatformAdapter = {
  readonly http: HttpDialect;
  readonly directory: DirectoryDialect;
  /** Creates the record source; `onFault` is called for each record that cannot be used. */
  readonly createSource: (onFault: RecordFaultHandler) => RecordSource;
};
