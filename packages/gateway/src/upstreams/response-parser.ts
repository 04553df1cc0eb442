/**
 * Cuts the bytes of an upstream's connection into answers. It is stricter than the library it
 * stands on: a length that is no number, a length beside chunks, or a chunk without a size makes
 * the answer invalid instead of short, and bytes after the expected answer are told apart.
 */
import { HTTPParser } from 'http-parser-js';

export type ResponseHead = {
  readonly status: number;
  readonly statusText: string;
  /** Names and values in turn, as they came. */
  readonly headers: readonly string[];
  /** Whether the connection may be used again. */
  readonly isKeptAlive: boolean;
};

export type ResponseEvents = {
  /** Returns whether the answer comes without a body, whatever its headers say. */
  readonly onHead: (head: ResponseHead) => boolean;
  readonly onBody: (chunk: Buffer) => void;
  /** The answer is whole. Returns whether another answer is expected after it. */
  readonly onEnd: () => boolean;
};

/** The head of an answer as the library gives it. */
type LibraryHead = {
  readonly statusCode: number;
  readonly statusMessage: string;
  readonly headers: readonly string[];
  readonly shouldKeepAlive: boolean;
};

/** Steps of the library's state machine that are made stricter. */
type Steps = {
  offset: number;
  end: number;
  state: string;
  body_bytes: number | null;
  consumeLine: () => string | undefined;
  RESPONSE_LINE: () => void;
  BODY_CHUNKHEAD: () => void;
};

const CHUNK_SIZE_PATTERN = /^[0-9a-f]{1,8}\s*(;.*)?$/i;
const LENGTH_PATTERN = /^\d{1,15}$/;
const BODILESS_STATUSES: readonly number[] = [204, 304];

function listValues(headers: readonly string[], name: string): readonly string[] {
  return headers.filter(
    (_value, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name,
  );
}

/** Says why the framing of an answer cannot be trusted; undefined if it can. */
function describeFramingFault(headers: readonly string[]): string | undefined {
  const lengths = listValues(headers, 'content-length');
  const codings = listValues(headers, 'transfer-encoding');
  if (lengths.length > 1 || codings.length > 1) return 'framing headers stand more than once';
  if (lengths.length === 1 && codings.length === 1) return 'both a length and chunks';
  if (!lengths.every((value) => LENGTH_PATTERN.test(value))) return 'the length is no number';
  if (!codings.every((value) => value.toLowerCase() === 'chunked')) return 'unknown coding';
  return undefined;
}

export class ResponseParser {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE);

  readonly #events: ResponseEvents;

  #expectsAnswer = true;

  #hasExtraBytes = false;

  #fault: Error | undefined;

  constructor(events: ResponseEvents) {
    this.#events = events;
    const parser = this.#parser;
    parser[HTTPParser.kOnHeadersComplete] = (info) => this.#handleHead(info);
    parser[HTTPParser.kOnBody] = (chunk, offset, length) =>
      this.#events.onBody(chunk.subarray(offset, offset + length));
    parser[HTTPParser.kOnMessageComplete] = () => this.#handleEnd();
    this.#replaceSteps();
  }

  /** Whether bytes came after the last answer that was expected. */
  get hasExtraBytes(): boolean {
    return this.#hasExtraBytes;
  }

  /** Expects another answer on the connection. */
  expectAnswer(): void {
    this.#expectsAnswer = true;
  }

  /** Takes bytes in; returns the fault that makes them no answer, if there is one. */
  parse(chunk: Buffer): Error | undefined {
    const result = this.#parser.execute(chunk);
    if (result instanceof Error) return result;
    return this.#fault;
  }

  /** Notes the end of the connection; returns an error if it cuts an answer. */
  finish(): Error | undefined {
    const result = this.#parser.finish();
    return result instanceof Error ? result : undefined;
  }

  #handleHead({ statusCode, statusMessage, headers, shouldKeepAlive }: LibraryHead): number | void {
    const fault = describeFramingFault(headers);
    if (fault !== undefined) this.#fault = new Error(fault);
    const isBodiless = this.#events.onHead({
      status: statusCode,
      statusText: statusMessage,
      headers,
      isKeptAlive: shouldKeepAlive,
    });
    return isBodiless || BODILESS_STATUSES.includes(statusCode) ? 1 : undefined;
  }

  #handleEnd(): void {
    this.#expectsAnswer = this.#events.onEnd();
  }

  #replaceSteps(): void {
    const steps = this.#parser as unknown as Steps;
    const readStatusLine = steps.RESPONSE_LINE.bind(steps);
    const readChunkSize = (): void => {
      const line = steps.consumeLine();
      if (line === undefined) return;
      if (!CHUNK_SIZE_PATTERN.test(line)) throw new Error('a chunk has no size');
      steps.body_bytes = parseInt(line, 16);
      steps.state = steps.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
    };
    const readNextStatusLine = (): void => {
      if (this.#expectsAnswer) {
        readStatusLine();
        return;
      }
      this.#hasExtraBytes = true;
      steps.offset = steps.end;
    };
    Object.assign(this.#parser, {
      BODY_CHUNKHEAD: readChunkSize,
      RESPONSE_LINE: readNextStatusLine,
    });
  }
}
