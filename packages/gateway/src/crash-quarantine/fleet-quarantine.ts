/**
 * Keeps requests that end upstreams from all upstreams of the fleet: recognises them by the ends that
 * this daemon and the others have seen, and exchanges what is known.
 */
import { CrashQuarantine, hashText } from '@baobabline/core';
import type { Clock, QuarantineVerdict, RandomSource, SuspectRequest } from '@baobabline/core';
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

export class FleetQuarantine implements CrashGuard {
  readonly #dependencies: FleetQuarantineDependencies;

  readonly #quarantine: CrashQuarantine;

  readonly #detector: UpstreamEndDetector;

  readonly #reports: QuarantineReports;

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
    this.#quarantine.runTick();
    this.#reports.runTick();
  }

  stop(): void {
    this.#reports.stop();
  }

  #recordEnd({ state, fingerprints, othersInFlight }: UpstreamEnd): void {
    this.#quarantine.recordCrash(state.startName, fingerprints, othersInFlight);
    this.#reports.recordChange();
  }

  /** Takes in a report, but for ends of upstreams that have connections to this daemon still. */
  #applyReport(suspects: readonly SuspectRequest[]): boolean {
    const alive = new Set(
      this.#dependencies.upstreams
        .listUpstreams()
        .filter(({ pool }) => pool.hasOpenConnection)
        .map(({ startName }) => startName),
    );
    const refuted = suspects.flatMap(({ crashes }) =>
      crashes.map(({ crash }) => crash).filter((crash) => alive.has(crash)),
    );
    if (refuted.length > 0) {
      this.#dependencies.log.info('crash-report-refuted', { crashes: [...new Set(refuted)] });
    }
    return suspects
      .map((suspect) => ({
        ...suspect,
        crashes: suspect.crashes.filter(({ crash }) => !alive.has(crash)),
      }))
      .map((suspect) => this.#quarantine.applyReport(suspect))
      .some(Boolean);
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
      sendQuery: (body) => send(body, fleet.roles.listOtherDispatchers()),
      sendTo: (body, address) => socket.send('crash-reports', body, address),
      apply: (suspects) => this.#applyReport(suspects),
    });
  }
}
