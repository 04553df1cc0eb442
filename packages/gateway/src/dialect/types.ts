/**
 * How the platform's words are spelled on the wire. The gateway knows what callers and upstreams
 * mean; a dialect knows under which names they say it. It translates and decides nothing.
 */
import type { RecordChanges } from '@baobabline/core';

/** Headers as Node.js gives them: names in lower case, repeated ones joined or listed. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

export type HeaderPair = readonly [name: string, value: string];

/** What a caller says of its request besides method, path and body. */
export type CallerHead = {
  /** Absent where the caller sent none. */
  readonly requestId: string | undefined;
  /** How long the caller waits, in milliseconds from the arrival. */
  readonly timeAllowedMs: number | undefined;
};

/** What an upstream says of its answer. */
export type AnswerHead = {
  /** The request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the upstream states that it did not run the request, and never will. */
  readonly isNotRun: boolean;
  /** Whether the answer bears the upstream's signature, which every success must. */
  readonly isSigned: boolean;
  /** Requests running and waiting at the upstream, of all callers. */
  readonly load: { readonly running: number; readonly waiting: number } | undefined;
  /** How long the upstream keeps an idle connection, in milliseconds. */
  readonly keepAliveMs: number | undefined;
};

export type UpstreamHead = {
  readonly requestId: string;
  /** What is left to the caller, in milliseconds. */
  readonly timeLeftMs: number;
  /** The one upstream that may run the request. */
  readonly upstreamId: string;
};

export interface HttpDialect {
  /** Names, in lower case, of headers that the gateway sets itself and never passes on. */
  readonly ownHeaders: ReadonlySet<string>;
  readCallerHead(headers: HeaderMap): CallerHead;
  readAnswerHead(status: number, headers: HeaderMap): AnswerHead;
  buildUpstreamHeaders(head: UpstreamHead): readonly HeaderPair[];
}

/** What a caller asks the directory. */
export type DirectoryQuestion = {
  readonly dataCentre: string | undefined;
};

export type DirectoryAnswer = {
  readonly endpoints: readonly { readonly address: string; readonly port: number }[];
  /** How long a caller may keep the answer, in seconds. */
  readonly holdSeconds: number;
};

export interface DirectoryDialect {
  readonly directoryPath: string;
  readonly readinessPath: string;
  readDirectoryQuestion(query: Readonly<Record<string, unknown>>): DirectoryQuestion;
  buildDirectoryAnswer(answer: DirectoryAnswer): unknown;
}

/** Where published records are read from. Calls reject when the source does not answer. */
export interface RecordSource {
  /** Reads all records. */
  readAll(): Promise<RecordChanges>;
  /**
   * Waits up to `waitMs` for changes after a revision; undefined if the source has forgotten the
   * history since then.
   */
  watch(afterRevision: number, waitMs: number): Promise<RecordChanges | undefined>;
  close(): void;
}

/** Called with the key of a record that cannot be used, and why. */
export type RecordFaultHandler = (key: string, reason: string) => void;

/** All that differs between platforms. */
export type PlatformPorts = {
  readonly http: HttpDialect;
  readonly directory: DirectoryDialect;
  /** Creates the source; `onFault` is called for each record that names nothing to use. */
  readonly createSource: (onFault: RecordFaultHandler) => RecordSource;
};
