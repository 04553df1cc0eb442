/**
 * A fleet in simulated time, for tests of the quarantine: each daemon has a quarantine and a view of
 * the fleet of its own, and they exchange reports by datagrams that may be lost. In each data centre
 * the first daemon that is seen is the dispatcher. Upstreams are endless: each run has its own. The
 * caller mocks `setTimeout`.
 */
import { CrashQuarantine, createRandom, hashText } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';

import { QuarantineReports } from './quarantine-reports.js';
import { TrialTurns } from './trial-turns.js';

export type SimulatedQuarantineOptions = {
  readonly seed: number;
  readonly daemonCount: number;
  /** Part of the datagrams that are lost, from 0 to 1. */
  readonly lossShare: number;
};

/** A run of a request by an upstream, in milliseconds of simulated time. */
export type SimulatedRun = {
  readonly at: number;
  readonly daemon: string;
  readonly fingerprint: string;
};

export type SimulatedRefusal = SimulatedRun & { readonly retryAfterMs: number };

type SimulatedDaemon = {
  readonly id: string;
  readonly startedAt: number;
  readonly quarantine: CrashQuarantine;
  readonly reports: QuarantineReports;
};

const DATA_CENTRES = 3;
const WORK_MS = 60;
/** Time until the end of an upstream is told from the loss of a connection. */
const VERDICT_MS = 30;
const LINK_MS = 5;
const TICK_MS = 200;
/** Time after which a change of the fleet is known to all. */
const SETTLE_MS = 3000;
const MAX_ATTEMPTS = 2;
const QUERIED_NEIGHBOURS = 4;

function getDataCentre(id: string): string {
  return id.split('-')[0] ?? '';
}

/** What daemons on one side see of the fleet. */
type FleetView = {
  readonly byDataCentre: ReadonlyMap<string, readonly string[]>;
  readonly dispatchers: readonly { readonly id: string }[];
};

function buildView(visible: readonly string[]): FleetView {
  const names = [...new Set(visible.map(getDataCentre))];
  const byDataCentre = new Map(
    names.map((name) => [name, visible.filter((id) => getDataCentre(id) === name)] as const),
  );
  const dispatchers = [...byDataCentre.values()].flatMap(([id]) =>
    id === undefined ? [] : [{ id }],
  );
  return { byDataCentre, dispatchers };
}

export class SimulatedQuarantineFleet {
  readonly runs: SimulatedRun[] = [];

  readonly refusals: SimulatedRefusal[] = [];

  readonly ids: readonly string[];

  readonly #options: SimulatedQuarantineOptions;

  readonly #random: RandomSource;

  readonly #daemons = new Map<string, SimulatedDaemon>();

  /** Upstreams that have crashed so far. */
  #crashCount = 0;

  #now = 0;

  /** Part of the fleet that a daemon belongs to while it is split, by id. */
  #sides: ReadonlyMap<string, number> = new Map();

  readonly #views = new Map<string, FleetView>();

  /** When the fleet was last split or joined. */
  #changedAt = Number.NEGATIVE_INFINITY;

  constructor(options: SimulatedQuarantineOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.ids = Array.from(
      { length: options.daemonCount },
      (_, index) => `z${index % DATA_CENTRES}-${Math.floor(index / DATA_CENTRES)}`,
    );
    this.ids.forEach((id) => this.startDaemon(id));
  }

  get now(): number {
    return this.#now;
  }

  /** Starts a daemon, or starts it anew without anything that it knew. */
  startDaemon(id: string): void {
    const clock = { now: () => this.#now };
    const turns = new TrialTurns({
      selfId: id,
      hash: hashText,
      listDispatchers: () => this.#listDispatchers(id),
      getVisiblePart: () => this.#getVisiblePart(id),
    });
    const quarantine = new CrashQuarantine({
      clock,
      mayTry: (fingerprint, sinceReleaseMs) => turns.mayTry(fingerprint, sinceReleaseMs),
      onChange: () => undefined,
    });
    const reports: QuarantineReports = new QuarantineReports({
      clock,
      listReportable: () => quarantine.listReportable(),
      isDispatcher: () => this.#listDispatchers(id).some((one) => one.id === id),
      countRecipients: () => this.#listRecipients(id).length,
      send: (body) => this.#listRecipients(id).forEach((to) => this.#pass(id, to, body)),
      sendQuery: (body) =>
        [
          ...this.#listDispatchers(id).map((one) => one.id),
          ...this.#listRecipients(id).slice(0, QUERIED_NEIGHBOURS),
        ].forEach((to) => this.#pass(id, to, body)),
      sendTo: (body, address) => this.#pass(id, address, body),
      apply: (suspects) => suspects.map((suspect) => quarantine.applyReport(suspect)),
    });
    this.#daemons.get(id)?.reports.stop();
    this.#daemons.set(id, { id, startedAt: this.#now, quarantine, reports });
    if (this.#now > 0) reports.start();
  }

  /** Splits the fleet by data centre: those named on one side, all others on the other. */
  split(dataCentres: readonly string[]): void {
    this.#sides = new Map(
      this.ids.map((id) => [id, dataCentres.includes(getDataCentre(id)) ? 1 : 0]),
    );
    this.#changedAt = this.#now;
    this.#views.clear();
  }

  /** Joins the sides again. */
  join(): void {
    this.split([]);
  }

  /** Advances the simulated time by one step; the caller advances its timers by the same. */
  advance(stepMs: number): void {
    this.#now += stepMs;
    if (this.#now % TICK_MS !== 0) return;
    this.#daemons.forEach(({ quarantine, reports }) => {
      quarantine.runTick();
      reports.runTick();
    });
  }

  drawDaemon(): string {
    return this.ids[Math.floor(this.#random.next() * this.ids.length)] ?? '';
  }

  isQuarantined(id: string, fingerprint: string): boolean {
    return this.#daemons.get(id)?.quarantine.judge(fingerprint).kind !== 'allowed';
  }

  /** Sends a request to a daemon; a harmful one crashes each upstream that runs it. */
  sendRequest(daemonId: string, fingerprint: string, isHarmful: boolean, attempt = 1): void {
    const daemon = this.#daemons.get(daemonId);
    if (!daemon) return;
    const { quarantine, reports } = daemon;
    const verdict = quarantine.judge(fingerprint);
    const run = { at: this.#now, daemon: daemonId, fingerprint };
    if (verdict.kind === 'refused') {
      this.refusals.push({ ...run, retryAfterMs: verdict.retryAfterMs });
      return;
    }
    if (verdict.kind === 'trial') {
      quarantine.recordTrial(fingerprint);
      reports.recordChange();
    }
    this.runs.push(run);
    setTimeout(() => {
      if (isHarmful) this.#crash(daemon, fingerprint, attempt);
      else if (quarantine.recordSuccess(fingerprint)) reports.recordChange();
    }, WORK_MS);
  }

  /** Lets an upstream crash by itself with requests of one daemon in flight. */
  crashUpstream(daemonId: string, fingerprints: readonly string[]): void {
    this.#crashCount += 1;
    const daemon = this.#daemons.get(daemonId);
    daemon?.quarantine.recordCrash(this.#crashCount, fingerprints, 0);
    daemon?.reports.recordChange();
  }

  #crash({ id, quarantine }: SimulatedDaemon, fingerprint: string, attempt: number): void {
    const wasSuspect = quarantine.isSuspect(fingerprint);
    const retry = (): void => {
      if (attempt < MAX_ATTEMPTS) this.sendRequest(id, fingerprint, true, attempt + 1);
    };
    setTimeout(() => {
      this.crashUpstream(id, [fingerprint]);
      if (wasSuspect) retry();
    }, VERDICT_MS);
    if (!wasSuspect) retry();
  }

  #pass(from: string, to: string, body: Buffer): void {
    if (from === to || this.#random.next() < this.#options.lossShare) return;
    if (this.#sides.get(from) !== this.#sides.get(to)) return;
    setTimeout(() => this.#daemons.get(to)?.reports.accept(body, from), LINK_MS);
  }

  /** The view of a daemon; those on one side of a split have the same one. */
  #getView(id: string): FleetView {
    // Both sides of a split believe for a while that the other is there.
    const isSettled = this.#now >= this.#changedAt + SETTLE_MS;
    const name = isSettled ? String(this.#sides.get(id) ?? 0) : 'all';
    const known = this.#views.get(name);
    if (known) return known;
    const visible = isSettled
      ? this.ids.filter((other) => this.#sides.get(other) === this.#sides.get(id))
      : this.ids;
    const view = buildView(visible);
    this.#views.set(name, view);
    return view;
  }

  #listDispatchers(id: string): readonly { readonly id: string }[] {
    return this.#getView(id).dispatchers;
  }

  #listRecipients(id: string): readonly string[] {
    const { byDataCentre, dispatchers } = this.#getView(id);
    const near = byDataCentre.get(getDataCentre(id)) ?? [];
    const far = dispatchers
      .map((one) => one.id)
      .filter((one) => getDataCentre(one) !== getDataCentre(id));
    return [...near, ...far].filter((one) => one !== id);
  }

  #getVisiblePart(id: string): number {
    const { startedAt = this.#now } = this.#daemons.get(id) ?? {};
    if (this.#now < startedAt + SETTLE_MS) return 0;
    const visible = [...this.#getView(id).byDataCentre.values()].flat();
    return visible.length / this.ids.length;
  }
}
