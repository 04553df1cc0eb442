/**
 * Keeps requests that end upstreams from all upstreams of the fleet: recognises them by the ends that
 * this daemon and the others have seen, and exchanges what is known.
 */
import { CrashQuarantine, hashText } from '@baobabline/core';
import type {
  Clock,
  QuarantineVerdict,
  RandomSource,
  ReportEffect,
  SuspectRequest,
} from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { FleetSocket } from '../datagrams/index.js';
import type { FleetLinks } from '../fleet/index.js';
import type { CrashGuard, LostRequest, UpstreamState } from '../requests/index.js';
import { UpstreamEndDetector } from '../upstream-ends/index.js';
import type { EndVerdict, UpstreamEnd } from '../upstream-ends/index.js';
import { QuarantineReports } from './quarantine-reports.js';
import { TrialTurns } from './trial-turns.js';

/** The upstreams of all services. */
export interface KnownUpstreams {
  listUpstreams(): readonly UpstreamState[];
  /** Those to which connections could be opened lately. */
  listReachableUpstreams(): readonly UpstreamState[];
}

export type FleetQuarantineDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly selfId: string;
  readonly fleet: FleetLinks;
  readonly socket: FleetSocket;
  readonly upstreams: KnownUpstreams;
  /** Part of the fleet that this daemon has seen for some seconds, from 0 to 1. */
  readonly getVisiblePart: () => number;
  readonly onVerdict: (verdict: EndVerdict) => void;
};

/** Daemons of this data centre that are asked besides the dispatchers, after a start. */
const QUERIED_NEIGHBOURS = 4;
/** Reports are repeated, and so refuted again. */
const REFUTED_LOG_INTERVAL_MS = 10_000;

export class FleetQuarantine implements CrashGuard {
  readonly #dependencies: FleetQuarantineDependencies;

  readonly #quarantine: CrashQuarantine;

  readonly #detector: UpstreamEndDetector;

  readonly #reports: QuarantineReports;

  /** When the report of an upstream's end was last logged as refuted. */
  readonly #refutedAt = new Map<string, number>();

  constructor(dependencies: FleetQuarantineDependencies) {
    this.#dependencies = dependencies;
    const { clock, random, log, upstreams, onVerdict } = dependencies;
    const turns = this.#createTurns();
    this.#quarantine = new CrashQuarantine({
      clock,
      mayTry: (fingerprint, sinceReleaseMs) => turns.mayTry(fingerprint, sinceReleaseMs),
      onChange: ({ fingerprint, change, crashes }) =>
        log.warn(`request-${change}`, {
          fingerprint,
          crashes: crashes.map(({ crash, at, blame }) => ({
            crash,
            ageMs: Math.round(clock.now() - at),
            blame: Number(blame.toFixed(2)),
          })),
        }),
    });
    this.#detector = new UpstreamEndDetector({
      clock,
      random,
      log,
      listUpstreams: () => upstreams.listUpstreams(),
      listReachable: () => upstreams.listReachableUpstreams(),
      onVerdict,
      onEnd: (end) => this.#recordEnd(end),
    });
    this.#reports = this.#createReports();
    dependencies.socket.setHandler('crash-reports', (body, sender) =>
      this.#reports.accept(body, sender),
    );
  }

  /** Number of quarantined requests. */
  get size(): number {
    return this.#quarantine.size;
  }

  judge(fingerprint: string): QuarantineVerdict {
    return this.#quarantine.judge(fingerprint);
  }

  isSuspect(fingerprint: string): boolean {
    return this.#quarantine.isSuspect(fingerprint);
  }

  recordTrial(fingerprint: string): void {
    this.#quarantine.recordTrial(fingerprint);
    this.#dependencies.log.warn('request-tried', { fingerprint });
    this.#reports.recordChange();
  }

  recordSuccess(fingerprint: string): void {
    if (this.#quarantine.recordSuccess(fingerprint)) this.#reports.recordChange();
  }

  recordLoss(lost: LostRequest, onDone: () => void): void {
    this.#detector.recordLoss(lost, onDone);
  }

  /** Asks the other daemons for what they know. */
  start(): void {
    this.#reports.start();
  }

  runTick(): void {
    const oldest = this.#dependencies.clock.now() - REFUTED_LOG_INTERVAL_MS;
    this.#refutedAt.forEach((at, id) => {
      if (at < oldest) this.#refutedAt.delete(id);
    });
    this.#quarantine.runTick();
    this.#reports.runTick();
  }

  stop(): void {
    this.#reports.stop();
  }

  #recordEnd({ state, fingerprints, othersInFlight, hasCommonCause }: UpstreamEnd): void {
    if (hasCommonCause) {
      this.#quarantine.recordCommonCrash(state.startName, fingerprints, othersInFlight);
    } else this.#quarantine.recordCrash(state.startName, fingerprints, othersInFlight);
    this.#reports.recordChange();
  }

  /** Takes in a report, but for ends of upstreams whose connections to this daemon outlived them. */
  #applyReport(suspects: readonly SuspectRequest[]): readonly ReportEffect[] {
    const upstreams = new Map(
      this.#dependencies.upstreams.listUpstreams().map((state) => [state.startName, state]),
    );
    return suspects.map((suspect) => {
      const crashes = suspect.crashes.filter(({ crash, at }) => {
        const state = upstreams.get(crash);
        if (!state?.pool.hasBeenOpenSince(at)) return true;
        this.#logRefuted(state);
        return false;
      });
      return this.#quarantine.applyReport({ ...suspect, crashes });
    });
  }

  #logRefuted({ record: { id } }: UpstreamState): void {
    const now = this.#dependencies.clock.now();
    if (now - (this.#refutedAt.get(id) ?? Number.NEGATIVE_INFINITY) < REFUTED_LOG_INTERVAL_MS) {
      return;
    }
    this.#refutedAt.set(id, now);
    this.#dependencies.log.info('crash-report-refuted', { upstream: id });
  }

  #createTurns(): TrialTurns {
    const { selfId, fleet, getVisiblePart } = this.#dependencies;
    return new TrialTurns({
      selfId,
      hash: hashText,
      listDispatchers: () => fleet.roles.listAllDispatchers(),
      getVisiblePart,
    });
  }

  #createReports(): QuarantineReports {
    const { clock, fleet, socket } = this.#dependencies;
    const send = (body: Buffer, recipients: readonly { readonly address: string }[]): void =>
      recipients.forEach(({ address }) => socket.send('crash-reports', body, address));
    return new QuarantineReports({
      clock,
      listReportable: () => this.#quarantine.listReportable(),
      isDispatcher: () => fleet.isDispatcher,
      countRecipients: () => fleet.listNearAndDispatchers().length,
      send: (body) => send(body, fleet.listNearAndDispatchers()),
      sendQuery: (body) =>
        send(body, [
          ...fleet.roles.listOtherDispatchers(),
          ...fleet.listNearAndDispatchers().slice(0, QUERIED_NEIGHBOURS),
        ]),
      sendTo: (body, address) => socket.send('crash-reports', body, address),
      apply: (suspects) => this.#applyReport(suspects),
    });
  }
}
