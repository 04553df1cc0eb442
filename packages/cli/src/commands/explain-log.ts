/**
 * Tells a request's story from log files or standard input, without a running daemon.
 */
import { createReadStream } from 'node:fs';
import process from 'node:process';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

import { buildStory, formatStory, isStoryLine, parseLogLine } from './log-story.js';
import type { LogLine } from './log-story.js';
import { QuestionError } from './questions.js';

export type ExplainLogOptions = {
  readonly id: string;
  /** Files to read; `-` is standard input. */
  readonly files: readonly string[];
  readonly json: boolean;
};

async function readLines(file: string, request: string): Promise<readonly LogLine[]> {
  const input: Readable = file === '-' ? process.stdin : createReadStream(file);
  const lines: LogLine[] = [];
  const failed = new Promise<never>((_, reject) => {
    input.once('error', (error: Error) => reject(new QuestionError(`${file}: ${error.message}`)));
  });
  const done = new Promise<void>((resolve) => {
    const reader = createInterface({ input });
    reader.on('line', (text) => {
      const line = parseLogLine(text);
      if (line && isStoryLine(line, request)) lines.push(line);
    });
    reader.once('close', resolve);
  });
  await Promise.race([done, failed]);
  return lines;
}

/** Prints the story of a request. Throws QuestionError if no line tells of it. */
export async function runExplainLog({ id, files, json }: ExplainLogOptions): Promise<void> {
  const lines = await Promise.all(files.map(async (file) => readLines(file, id)));
  const story = buildStory(lines.flat(), id);
  if (story.steps.length === 0) throw new QuestionError(`No line tells of request ${id}`);
  const text = json ? [JSON.stringify(story)] : formatStory(story);
  process.stdout.write(`${text.join('\n')}\n`);
}
