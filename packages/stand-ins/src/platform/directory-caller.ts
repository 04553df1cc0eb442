/**
 * A caller that asks daemons where to connect, as the platform's callers do: it keeps an answer for as
 * long as it says, or for three times as long, and sends each request to one of the addresses in it.
 */
import { request } from 'node:http';

import { GATEWAY_PORTS } from './gateway-process.js';
import { SCENE_HOST } from './stop-scene.js';
import { WireCaller } from './wire-caller.js';
import type { WireReply } from './wire-caller.js';

export type DirectoryCallerSettings = {
  /** Daemons that are asked, the first one first. */
  readonly directories: readonly string[];
  readonly dataCentre: string;
  /** How many times as long as allowed an answer is kept. */
  readonly holdFactor: number;
};

type DirectoryAnswer = { readonly addresses: readonly string[]; readonly ttlS: number };

const ASK_TIMEOUT_MS = 1000;
const MS_PER_SECOND = 1000;

async function fetchAnswer(host: string, dataCentre: string): Promise<DirectoryAnswer | undefined> {
  return new Promise((resolve) => {
    const question = request({
      host,
      port: GATEWAY_PORTS.directory,
      path: `/resolve?name=${SCENE_HOST}&region=r&zone=${dataCentre}`,
      agent: false,
      timeout: ASK_TIMEOUT_MS,
    });
    question.once('timeout', () => question.destroy());
    question.once('error', () => resolve(undefined));
    question.once('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.once('error', () => resolve(undefined));
      response.once('end', () => {
        const isGood = response.statusCode === 200;
        resolve(
          isGood ? (JSON.parse(Buffer.concat(chunks).toString()) as DirectoryAnswer) : undefined,
        );
      });
    });
    question.end();
  });
}

export class DirectoryCaller {
  readonly #settings: DirectoryCallerSettings;

  readonly #wire = new WireCaller();

  #hosts: readonly string[] = [];

  #freshUntil = 0;

  #count = 0;

  constructor(settings: DirectoryCallerSettings) {
    this.#settings = settings;
  }

  /** Sends a request to a daemon that the directory names. */
  async send(id: string, kind: 'safe' | 'unsafe', timeLimitMs: number): Promise<WireReply> {
    if (performance.now() >= this.#freshUntil) await this.#refresh(this.#settings.directories);
    this.#count += 1;
    return this.#wire.send({
      id,
      address: this.#hosts[this.#count % Math.max(1, this.#hosts.length)] ?? '127.0.21.254',
      port: GATEWAY_PORTS.front,
      host: SCENE_HOST,
      method: kind === 'safe' ? 'GET' : 'POST',
      path: `/${kind}/${id}`,
      timeLimitMs,
    });
  }

  close(): void {
    this.#wire.close();
  }

  async #refresh([first, ...rest]: readonly string[]): Promise<void> {
    if (first === undefined) return;
    const answer = await fetchAnswer(first, this.#settings.dataCentre);
    if (!answer || answer.addresses.length === 0) {
      await this.#refresh(rest);
      return;
    }
    this.#hosts = answer.addresses.map((endpoint) => endpoint.split(':')[0] ?? '');
    this.#freshUntil = performance.now() + answer.ttlS * MS_PER_SECOND * this.#settings.holdFactor;
  }
}
