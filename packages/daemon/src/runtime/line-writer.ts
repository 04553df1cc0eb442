/**
 * Writes log lines to standard output in batches: one write a batch costs a fraction of one write
 * a line. Neither a flood of lines nor a reader that has stalled holds the daemon up: lines beyond
 * the bounds are left out and counted. What is left is written when the process exits.
 */
import type { Clock } from '@baobabline/core';
import { writeSync } from 'node:fs';
import type { Writable } from 'node:stream';

import { LineBudget } from './line-budget.js';
import type { LineClass } from './line-budget.js';

const FLUSH_MS = 20;
const MAX_BUFFERED_LINES = 256;
/** Text that waits for a reader who has stalled; a few seconds of lines. */
const MAX_WAITING_BYTES = 1024 * 1024;
/** How often it is told how many lines were left out. */
const REPORT_MS = 1000;
const STDOUT_DESCRIPTOR = 1;

export type LineWriterPorts = {
  readonly output: Writable;
  readonly clock: Clock;
  readonly maxLinesPerSecond: number;
  /** Builds the line that says how many lines were left out. */
  readonly buildReport: (leftOut: number) => string;
};

export class LineWriter {
  readonly #ports: LineWriterPorts;

  readonly #budget: LineBudget;

  #lines: string[] = [];

  #timer: NodeJS.Timeout | undefined;

  #hasReader = true;

  #leftOut = 0;

  #reportedAt: number;

  constructor(ports: LineWriterPorts) {
    this.#ports = ports;
    this.#budget = new LineBudget(ports.maxLinesPerSecond, ports.clock);
    this.#reportedAt = ports.clock.now();
    process.on('exit', () => this.#writeRest());
    ports.output.on('error', () => this.#handleLostReader());
  }

  write(line: string, lineClass: LineClass): void {
    if (!this.#hasReader) return;
    if (this.#isStalled() || !this.#budget.take(lineClass)) {
      this.#leftOut += 1;
      this.#schedule();
      return;
    }
    this.#lines.push(line);
    if (this.#lines.length >= MAX_BUFFERED_LINES) this.#flush();
    else this.#schedule();
  }

  #isStalled(): boolean {
    return this.#ports.output.writableLength > MAX_WAITING_BYTES;
  }

  #schedule(): void {
    this.#timer ??= setTimeout(() => this.#flush(), FLUSH_MS);
  }

  /** Whoever read the log has gone, and with it the place to say so; requests are served on. */
  #handleLostReader(): void {
    this.#hasReader = false;
    this.#takeText();
  }

  #takeText(): string {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const text = this.#lines.map((line) => `${line}\n`).join('');
    this.#lines = [];
    return text;
  }

  #addReport(): void {
    const now = this.#ports.clock.now();
    if (this.#leftOut === 0 || this.#isStalled() || now - this.#reportedAt < REPORT_MS) return;
    this.#lines.push(this.#ports.buildReport(this.#leftOut));
    this.#leftOut = 0;
    this.#reportedAt = now;
  }

  #flush(): void {
    this.#addReport();
    const text = this.#takeText();
    if (text !== '') this.#ports.output.write(text);
    // What was left out is told even if no other line follows.
    if (this.#leftOut > 0) this.#schedule();
  }

  #writeRest(): void {
    // A reader that has stalled would not take them.
    if (this.#ports.output.writableLength > 0) return;
    if (this.#lines.length > 0) writeSync(STDOUT_DESCRIPTOR, this.#takeText());
  }
}
