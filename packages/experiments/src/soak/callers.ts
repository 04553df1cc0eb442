/**
 * The callers of a soak: they keep their connections until these are closed, open new ones at the
 * same daemon until its process is gone, and take down how each request ended.
 */
import { chooseOne, createRandom } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';
import { buildAnswerBody, CallerConnection, GATEWAY_PORTS } from '@baobabline/stand-ins';
import type { ConnectionRequest } from '@baobabline/stand-ins';
import { setTimeout as wait } from 'node:timers/promises';

import { CALLER_KINDS } from './caller-kinds/index.js';
import type { CallerKind, RequestDraft } from './caller-kinds/index.js';
import type { SoakDaemon } from './daemon.js';
import type { SoakDaemons } from './daemons.js';
import type { SoakRecorder } from './recorder.js';
import type { SeenRequest } from './types.js';
import { CRASHING_PATH } from './upstreams.js';

export const HOST = 'soak.example';

/**
 * How many callers of each kind there are for a daemon, drawn for each soak: with few of them daemons
 * are without a request now and then. There is a bound on what this process can simulate.
 */
const CALLERS_PER_DAEMON: readonly number[] = [0.2, 0.4, 1];
const MAX_SETS = 12;
const PAUSE_MS = 30;
/** Callers go to another daemon with this chance after a turn, and often to one that is stopping. */
const MOVE_CHANCE = 0.03;
const STOPPING_CHANCE = 0.6;
const CRASH_INTERVAL_MS = 300;
const CRASH_LIMIT_MS = 1000;
const CRASH_SEED = 37;
const SHOWN_BYTES = 120;

type Place = { readonly daemon: SoakDaemon; readonly life: number };

export class SoakCallers {
  readonly #daemons: SoakDaemons;

  readonly #recorder: SoakRecorder;

  readonly #random: RandomSource;

  readonly #prefix: string;

  /** Has draws of its own, so that those of the other callers are the same with and without it. */
  readonly #crashRandom = createRandom(CRASH_SEED);

  #count = 0;

  #isOver = false;

  constructor(daemons: SoakDaemons, recorder: SoakRecorder, random: RandomSource, prefix: string) {
    this.#daemons = daemons;
    this.#recorder = recorder;
    this.#random = random;
    this.#prefix = prefix;
  }

  /** Runs all callers until they are told to stop, and their last requests have ended. */
  async run(): Promise<void> {
    const perDaemon = chooseOne(this.#random, CALLERS_PER_DAEMON) ?? 1;
    const sets = Math.min(MAX_SETS, Math.ceil(this.#daemons.all.length * perDaemon));
    await Promise.all(
      Array.from({ length: sets }).flatMap(() =>
        CALLER_KINDS.map(async (kind) => this.#runCaller(kind, this.#chooseDaemon())),
      ),
    );
  }

  stop(): void {
    this.#isOver = true;
  }

  /** Sends a request that crashes upstreams to one daemon after the other, until told to stop. */
  async runCrashing(): Promise<void> {
    if (this.#isOver) return;
    const daemon = chooseOne(this.#crashRandom, this.#daemons.all);
    if (daemon) await this.sendAlone(daemon, `${CRASHING_PATH}-${this.#prefix}`, CRASH_LIMIT_MS);
    await wait(CRASH_INTERVAL_MS);
    await this.runCrashing();
  }

  /** Sends one request on a connection of its own. */
  async sendAlone(daemon: SoakDaemon, path: string, timeLimitMs: number): Promise<SeenRequest> {
    const place = { daemon, life: daemon.life };
    const connection = new CallerConnection(daemon.address, GATEWAY_PORTS.front);
    const draft: RequestDraft = { method: 'GET', timeLimitMs, workMs: 0 };
    await connection.connect();
    const seen = await this.#send(connection, place, 'single', draft, path);
    connection.close();
    return seen;
  }

  #chooseDaemon(): SoakDaemon {
    const { all } = this.#daemons;
    const stopping = all.filter((daemon) => daemon.isStopping);
    const group = stopping.length > 0 && this.#random.next() < STOPPING_CHANCE ? stopping : all;
    const daemon = chooseOne(this.#random, group);
    if (!daemon) throw new Error('a soak needs daemons');
    return daemon;
  }

  async #runCaller(kind: CallerKind, daemon: SoakDaemon): Promise<void> {
    if (this.#isOver) return;
    const connection = new CallerConnection(daemon.address, GATEWAY_PORTS.front);
    const isOpen = await connection.connect();
    if (isOpen) await this.#runTurns(kind, connection, { daemon, life: daemon.life });
    else await wait(PAUSE_MS);
    connection.close();
    const staysThere = isOpen && this.#random.next() >= MOVE_CHANCE;
    await this.#runCaller(kind, staysThere ? daemon : this.#chooseDaemon());
  }

  /** Uses a connection for as long as it can be used. */
  async #runTurns(kind: CallerKind, connection: CallerConnection, place: Place): Promise<void> {
    const drafts = kind.drawTurn(this.#random);
    await Promise.all(
      drafts.map(async (draft) => {
        const route = draft.method === 'POST' ? '/book' : '/read';
        const path = `${route}/${this.#count}?work=${draft.workMs}&bytes=${draft.answerBytes ?? 0}`;
        return this.#send(connection, place, kind.name, draft, path);
      }),
    );
    await wait(this.#random.next() * PAUSE_MS);
    const movesOn = this.#random.next() < MOVE_CHANCE && !place.daemon.isStopping;
    if (this.#isOver || movesOn || !connection.isUsable) return;
    await this.#runTurns(kind, connection, place);
  }

  async #send(
    connection: CallerConnection,
    { daemon, life }: Place,
    caller: string,
    { workMs, answerBytes = 0, ...draft }: RequestDraft,
    path: string,
  ): Promise<SeenRequest> {
    this.#count += 1;
    const request: ConnectionRequest = {
      ...draft,
      id: `r-${this.#prefix}-${this.#count}`,
      host: HOST,
      path,
    };
    const reply = await connection.send(request);
    const line = reply.body.split('\n')[0] ?? '';
    const isWhole = reply.body === buildAnswerBody(line, answerBytes);
    const seen: SeenRequest = {
      id: request.id,
      daemon: daemon.id,
      life,
      caller,
      method: request.method,
      path,
      bodyBytes: request.bodyBytes ?? 0,
      timeLimitMs: request.timeLimitMs,
      sentMs: this.#recorder.toSoakTime(reply.sentAt),
      wholeMs: reply.wholeAt === undefined ? undefined : this.#recorder.toSoakTime(reply.wholeAt),
      endMs: this.#recorder.toSoakTime(reply.endAt),
      status: reply.status,
      body: isWhole ? line : `${reply.body.length} bytes: ${reply.body.slice(0, SHOWN_BYTES)}`,
      signature: reply.signature,
      isBehindLast: reply.isBehindLast,
      isReused: reply.isReused,
    };
    this.#recorder.add('requests', seen);
    return seen;
  }
}
