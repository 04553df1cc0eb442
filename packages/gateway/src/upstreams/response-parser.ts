/**
 * Parses the bytes received from an upstream into answers. It is stricter than http-parser-js, on
 * which it is built: a Content-Length that is not a number, a Content-Length together with chunked
 * encoding, or a chunk without a size makes the answer invalid, where the library would accept a
 * truncated one. Bytes after the expected answer are detected and not parsed. The steps that split bytes
 * into lines and headers are replaced: the library's time for a line grows with the square of its blanks.
 */
import { HTTPParser } from 'http-parser-js';

import { addHeaderLine } from './header-lines.js';
import { LineBudget } from './line-budget.js';
import type { LineKind } from './line-budget.js';

export type ResponseHead = {
  readonly status: number;
  readonly statusText: string;
  /** Names and values alternate, in the order received. */
  readonly headers: readonly string[];
  /** Whether the connection may be reused. */
  readonly isKeptAlive: boolean;
};

export type ResponseEvents = {
  /** Returns whether the answer has no body, regardless of its headers. */
  readonly onHead: (head: ResponseHead) => boolean;
  readonly onBody: (chunk: Buffer) => void;
  /** Called when an answer is complete. Returns whether another one is expected after it. */
  readonly onEnd: () => boolean;
};

/** The head of an answer as http-parser-js passes it on. */
type LibraryHead = {
  readonly statusCode: number;
  readonly statusMessage: string;
  readonly headers: readonly string[];
  readonly shouldKeepAlive: boolean;
};

/** Private members of http-parser-js that are used to replace steps of its state machine. */
type ParserInternals = {
  chunk: Buffer;
  offset: number;
  end: number;
  /** What was received of the current line. */
  line: string;
  state: string;
  body_bytes: number | null;
  RESPONSE_LINE: () => void;
};

const LINE_FEED = 0x0a;
/** Kinds of lines by the library's names of its states; lines in other states belong to a head. */
const LINE_KINDS: Readonly<Record<string, LineKind>> = {
  BODY_CHUNKHEAD: 'chunk-size',
  BODY_CHUNKEMPTYLINE: 'chunk-size',
  BODY_CHUNKTRAILERS: 'trailer',
};

const CHUNK_SIZE_PATTERN = /^[0-9a-f]{1,8}\s*(;.*)?$/i;
/**
 * Each chunk costs processor time, however small it is. An answer may have so many, and more as long as
 * they have this many bytes on average.
 */
const MAX_SMALL_CHUNKS = 8192;
const MIN_MEAN_CHUNK_BYTES = 16;
const LENGTH_PATTERN = /^\d{1,15}$/;
/** Answers with these statuses have no body, whatever their headers state. */
export const BODILESS_STATUSES: readonly number[] = [204, 304];

/** The library's own choice, ASCII, drops the highest bit of each byte. */
HTTPParser.encoding = 'latin1';

/** A token, and what may stand in a value or a status text: beyond them Node.js sends no answer on. */
const HEADER_NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const HEADER_TEXT_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;
const LOWEST_STATUS = 100;
const HIGHEST_STATUS = 599;

/** Describes what of a head could not be sent on to a caller; undefined if all of it could. */
function describeHeadFault({
  statusCode,
  statusMessage,
  headers,
}: LibraryHead): string | undefined {
  if (statusCode < LOWEST_STATUS || statusCode > HIGHEST_STATUS) return `status ${statusCode}`;
  if (!HEADER_TEXT_PATTERN.test(statusMessage)) return 'invalid character in the status text';
  const isValid = headers.every((text, index) =>
    (index % 2 === 0 ? HEADER_NAME_PATTERN : HEADER_TEXT_PATTERN).test(text),
  );
  return isValid ? undefined : 'invalid character in a header';
}

function listHeaderValues(headers: readonly string[], name: string): readonly string[] {
  return headers.filter(
    (_value, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name,
  );
}

/** Describes what is wrong with the framing headers of an answer; undefined if they are valid. */
function describeFramingFault(headers: readonly string[]): string | undefined {
  const lengths = listHeaderValues(headers, 'content-length');
  const codings = listHeaderValues(headers, 'transfer-encoding');
  if (lengths.length > 1 || codings.length > 1)
    return 'duplicate Content-Length or Transfer-Encoding header';
  if (lengths.length === 1 && codings.length === 1)
    return 'both Content-Length and Transfer-Encoding are set';
  if (!lengths.every((value) => LENGTH_PATTERN.test(value)))
    return 'Content-Length is not a number';
  if (!codings.every((value) => value.toLowerCase() === 'chunked'))
    return 'unsupported Transfer-Encoding';
  return undefined;
}

export class ResponseParser {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE);

  readonly #events: ResponseEvents;

  #expectsAnswer = true;

  #hasExtraBytes = false;

  readonly #budget = new LineBudget();

  #chunkCount = 0;

  #chunkBytes = 0;

  #fault: Error | undefined;

  constructor(events: ResponseEvents) {
    this.#events = events;
    const parser = this.#parser;
    parser[HTTPParser.kOnHeadersComplete] = (info) => this.#handleHead(info);
    parser[HTTPParser.kOnBody] = (chunk, offset, length) =>
      this.#events.onBody(chunk.subarray(offset, offset + length));
    parser[HTTPParser.kOnMessageComplete] = () => this.#handleEnd();
    this.#replaceParserSteps();
  }

  /** Whether bytes were received after the last expected answer. */
  get hasExtraBytes(): boolean {
    return this.#hasExtraBytes;
  }

  /** Lets the parser accept one more answer on the connection. */
  expectAnswer(): void {
    this.#expectsAnswer = true;
    this.#budget.reset();
  }

  /** Parses received bytes; returns an error if they are not a valid answer. */
  parse(chunk: Buffer): Error | undefined {
    try {
      const result = this.#parser.execute(chunk);
      return result instanceof Error ? result : undefined;
    } catch (error) {
      // The library passes on what its callbacks throw.
      if (error === this.#fault) return this.#fault;
      throw error;
    }
  }

  /** Handles the end of the connection; returns an error if the answer is truncated. */
  finish(): Error | undefined {
    const result = this.#parser.finish();
    return result instanceof Error ? result : undefined;
  }

  #handleHead(head: LibraryHead): number | void {
    const { statusCode, statusMessage, headers, shouldKeepAlive } = head;
    const fault = describeHeadFault(head) ?? describeFramingFault(headers);
    if (fault !== undefined) {
      // Thrown, since an answer without a body would otherwise be complete before it is refused.
      this.#fault = new Error(fault);
      throw this.#fault;
    }
    const isBodiless = this.#events.onHead({
      status: statusCode,
      statusText: statusMessage,
      headers,
      isKeptAlive: shouldKeepAlive,
    });
    return isBodiless || BODILESS_STATUSES.includes(statusCode) ? 1 : undefined;
  }

  #handleEnd(): void {
    this.#chunkCount = 0;
    this.#chunkBytes = 0;
    this.#expectsAnswer = this.#events.onEnd();
  }

  /** Throws an error if the answer has too many small chunks. */
  #countChunk(bytes: number): void {
    this.#chunkCount += 1;
    this.#chunkBytes += bytes;
    const maxChunks = MAX_SMALL_CHUNKS + this.#chunkBytes / MIN_MEAN_CHUNK_BYTES;
    if (this.#chunkCount > maxChunks) throw new Error('too many small chunks');
  }

  /** Takes the rest of the current line from the received bytes; undefined if its end is still to come. */
  #readLine(internals: ParserInternals): string | undefined {
    const { chunk, offset, end, state } = internals;
    const found = chunk.indexOf(LINE_FEED, offset);
    const isWhole = found >= 0 && found < end;
    const stop = isWhole ? found : end;
    this.#budget.countBytes(LINE_KINDS[state] ?? 'head', stop - offset, isWhole);
    const line = internals.line + chunk.toString('latin1', offset, stop);
    Object.assign(internals, { line: isWhole ? '' : line, offset: isWhole ? stop + 1 : end });
    if (!isWhole) return undefined;
    return line.endsWith('\r') ? line.slice(0, -1) : line;
  }

  #replaceParserSteps(): void {
    const internals = this.#parser as unknown as ParserInternals;
    const readStatusLine = internals.RESPONSE_LINE.bind(internals);
    const readLine = (): string | undefined => this.#readLine(internals);
    const readChunkSize = (): void => {
      const line = readLine();
      if (line === undefined) return;
      if (!CHUNK_SIZE_PATTERN.test(line)) throw new Error('chunk size missing or malformed');
      internals.body_bytes = parseInt(line, 16);
      this.#countChunk(internals.body_bytes);
      internals.state = internals.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
    };
    const readNextStatusLine = (): void => {
      if (this.#expectsAnswer) {
        readStatusLine();
        if (internals.state === 'HEADER') this.#budget.countAnswer();
        return;
      }
      this.#hasExtraBytes = true;
      internals.offset = internals.end;
    };
    Object.assign(this.#parser, {
      consumeLine: readLine,
      parseHeader: addHeaderLine,
      BODY_CHUNKHEAD: readChunkSize,
      RESPONSE_LINE: readNextStatusLine,
    });
  }
}
