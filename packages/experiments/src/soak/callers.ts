/**
 * The callers of a soak: they keep their connections until these are closed, open new ones at the
 * same daemon until its process is gone, and take down how each request ended.
 */
import { chooseOne, createRandom } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';
import { buildAnswerBody, CallerConnection, GATEWAY_PORTS } from '@baobabline/stand-ins';
import type { ConnectionRequest } from '@baobabline/stand-ins';
import { setTimeout as wait } from 'node:timers/promises';

import { FLOODING_ACCOUNT, MAIN_ACCOUNT, REMOVED_ACCOUNT } from './accounts.js';
import type { SoakAccount } from './accounts.js';
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

/** How often the accounts beside the main one send a request to each daemon in turn. */
const FLOOD_INTERVAL_MS = 15;
const REMOVED_KEY_INTERVAL_MS = 60;
const ACCOUNT_LIMIT_MS = 1000;

type Place = { readonly daemon: SoakDaemon; readonly life: number };

export class SoakCallers {
  readonly #daemons: SoakDaemons;

  readonly #recorder: SoakRecorder;

  readonly #random: RandomSource;

  readonly #prefix: string;

  readonly #hasAccounts: boolean;

  /** Has draws of its own, so that those of the other callers are the same with and without it. */
  readonly #crashRandom = createRandom(CRASH_SEED);

  #count = 0;

  #isOver = false;

  constructor(
    daemons: SoakDaemons,
    recorder: SoakRecorder,
    random: RandomSource,
    { prefix, hasAccounts }: { readonly prefix: string; readonly hasAccounts: boolean },
  ) {
    this.#hasAccounts = hasAccounts;
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

  /** Sends requests of the accounts beside the main one, through all daemons, until told to stop. */
  async runAccounts(): Promise<void> {
    if (!this.#hasAccounts) return;
    await Promise.all([
      this.#runAccount(FLOODING_ACCOUNT, FLOOD_INTERVAL_MS, 0),
      this.#runAccount(REMOVED_ACCOUNT, REMOVED_KEY_INTERVAL_MS, 0),
    ]);
  }

  /** Sends one request on a connection of its own. */
  async sendAlone(
    daemon: SoakDaemon,
    path: string,
    timeLimitMs: number,
    account = MAIN_ACCOUNT,
  ): Promise<SeenRequest> {
    const place = { daemon, life: daemon.life };
    const connection = new CallerConnection(daemon.address, GATEWAY_PORTS.front);
    const draft: RequestDraft = { method: 'GET', timeLimitMs, workMs: 0 };
    await connection.connect();
    const seen = await this.#send(connection, place, 'single', draft, path, account);
    connection.close();
    return seen;
  }

  /** Does not wait for the answers, so that slow ones do not lower the rate. */
  async #runAccount(account: SoakAccount, intervalMs: number, turn: number): Promise<void> {
    const daemon = this.#daemons.get(turn);
    if (this.#isOver || !daemon) return;
    const path = `/read/${account.name}-${turn}?work=5&bytes=0`;
    const sending = this.sendAlone(daemon, path, ACCOUNT_LIMIT_MS, account);
    await wait(intervalMs);
    await this.#runAccount(account, intervalMs, turn + 1);
    await sending;
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
    account = MAIN_ACCOUNT,
  ): Promise<SeenRequest> {
    this.#count += 1;
    const request: ConnectionRequest = {
      ...draft,
      ...(this.#hasAccounts ? { key: account.key } : {}),
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
      account: this.#hasAccounts ? account.name : '',
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
