/**
 * Writes log lines to standard output in batches: one write a batch costs a fraction of one write
 * a line. What is left is written when the process exits.
 */
import { writeSync } from 'node:fs';

const FLUSH_MS = 20;
const MAX_BUFFERED_LINES = 256;
const STDOUT_DESCRIPTOR = 1;

export class LineWriter {
  #lines: string[] = [];

  #timer: NodeJS.Timeout | undefined;

  #hasReader = true;

  constructor() {
    process.on('exit', () => this.#writeRest());
    process.stdout.on('error', () => this.#handleLostReader());
  }

  write(line: string): void {
    if (!this.#hasReader) return;
    this.#lines.push(line);
    if (this.#lines.length >= MAX_BUFFERED_LINES) {
      this.#flush();
      return;
    }
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

  #flush(): void {
    process.stdout.write(this.#takeText());
  }

  #writeRest(): void {
    if (this.#lines.length > 0) writeSync(STDOUT_DESCRIPTOR, this.#takeText());
  }
}
