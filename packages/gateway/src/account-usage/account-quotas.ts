/**
 * The quotas of client accounts over the fleet, as this daemon keeps them: admits or refuses
 * requests, reports what it has admitted, and takes in what other daemons report.
 *
 * A daemon knows what others admit only while they report to it: as a dispatcher, while it leaves, or
 * after it has reported itself lately. In any other case, and after it did not run for a while, it
 * begins anew, without tokens, and asks the others with its first report.
 */
import { AccountQuota, hashText, HeardDaemons } from '@baobabline/core';
import type { ClientAccount, Clock, QuotaBounds, QuotaView } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import { OverQuotaLog } from './over-quota-log.js';
import { RecentReporters } from './recent-reporters.js';
import type { UsageRecipient } from './recent-reporters.js';
import { formatUsageReport, parseUsageReport } from './usage-message.js';
import type { UsageReport } from './usage-message.js';
import { computeRegularIntervalMs, UsageReports } from './usage-reports.js';
import type { UsageReportsPorts } from './usage-reports.js';

export type AccountQuotasPorts = {
  readonly clock: Clock;
  /** Wall-clock time in milliseconds; it advances while the VM is suspended. */
  readonly getWallTime: () => number;
  readonly schedule: UsageReportsPorts['schedule'];
  readonly log: Pick<Log, 'info'>;
  readonly selfId: string;
  readonly selfAddress: string;
  /** Identifies this start of the daemon; later starts have higher numbers. */
  readonly startId: number;
  readonly bounds: QuotaBounds;
  readonly listDispatcherIds: () => readonly string[];
  /** Whether other daemons report to this one in any case. */
  readonly isRecipient: () => boolean;
  /** Daemons that have to know of this one's admissions in any case. */
  readonly listRecipients: () => readonly UsageRecipient[];
  /** Part of the fleet that the membership sees, from 0 to 1. */
  readonly getVisiblePart: () => number;
  readonly send: (body: Buffer, addresses: readonly string[]) => void;
};

/** What an admitted request holds until it has run. */
export type QuotaPermit =
  | { readonly kind: 'admitted'; readonly release: () => void }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

const UNLIMITED: QuotaPermit = { kind: 'admitted', release: () => undefined };
/** The others go on reporting to a daemon for somewhat longer after its last report. */
const TOLD_MS = 2500;
/** A longer time between two refreshes means that this daemon did not run. */
const MAX_REFRESH_GAP_MS = 1000;
/** A daemon that begins anew is told of all accounts for this long. */
const ANSWER_MS = 1000;
/** As many as fit into a datagram. */
const MAX_ROWS = 64;

export class AccountQuotas {
  readonly #ports: AccountQuotasPorts;

  readonly #reports: UsageReports;

  readonly #heard: HeardDaemons;

  readonly #reporters: RecentReporters;

  readonly #overQuota: OverQuotaLog;

  readonly #startedAt: number;

  #quotas: ReadonlyMap<string, AccountQuota> = new Map();

  #byHash: ReadonlyMap<number, AccountQuota> = new Map();

  #hasConfiguration = false;

  #sequence = 0;

  #visiblePart = 1;

  #wasTold = false;

  #learningUntil = Number.NEGATIVE_INFINITY;

  #reportedAt = Number.NEGATIVE_INFINITY;

  #answerUntil = Number.NEGATIVE_INFINITY;

  /** Position of the next account to be told to daemons that begin anew. */
  #nextAnswer = 0;

  #refreshed: { readonly at: number; readonly wallTime: number };

  constructor(ports: AccountQuotasPorts) {
    this.#ports = ports;
    const { clock, log, selfAddress } = ports;
    this.#startedAt = clock.now();
    this.#refreshed = { at: this.#startedAt, wallTime: ports.getWallTime() };
    this.#heard = new HeardDaemons(this.#startedAt);
    this.#reporters = new RecentReporters(selfAddress, clock, ports.listRecipients);
    this.#overQuota = new OverQuotaLog(clock, log);
    this.#reports = new UsageReports({
      clock,
      schedule: ports.schedule,
      countRecipients: () => this.#reporters.list().length,
      isExpected: () => this.#hasQuotas && ports.isRecipient(),
      hasChanges: () => this.#list().some((quota) => quota.shouldReport(clock.now())),
      send: () => this.#send(),
    });
  }

  /** Number of accounts with refused requests lately. */
  get overQuotaCount(): number {
    return this.#overQuota.size;
  }

  /** Part of the fleet whose use of accounts is known, from 0 to 1. */
  get visiblePart(): number {
    return this.#visiblePart;
  }

  /** Applies the accounts of a configuration; those without a quota need nothing. */
  setAccounts(accounts: readonly ClientAccount[]): void {
    const now = this.#ports.clock.now();
    const limited = accounts.filter(({ ratePerSecond }) => ratePerSecond !== undefined);
    const { bounds } = this.#ports;
    const isNew = this.#hasConfiguration;
    this.#hasConfiguration = true;
    this.#quotas = new Map(
      limited.map((account) => {
        const known = this.#quotas.get(account.name);
        known?.applyAccount(account, now);
        const quota = known ?? new AccountQuota(account, { bounds, hash: hashText, isNew }, now);
        return [account.name, quota] as const;
      }),
    );
    this.#byHash = new Map(this.#list().map((quota) => [hashText(quota.name), quota]));
    this.#list().forEach((quota) => quota.setVisiblePart(this.#visiblePart, now));
    if (!this.#hasQuotas) this.#reports.stop();
  }

  /** Admits or refuses a request; its permit is released if it ends without having run. */
  admit(account: ClientAccount): QuotaPermit {
    const quota = this.#quotas.get(account.name);
    if (!quota) return UNLIMITED;
    const now = this.#ports.clock.now();
    this.#refresh(now, true);
    const tokens = quota.getTokens(now);
    const { isAdmitted, isUrgent, retryAfterMs } = quota.admit(this.#buildView(), now);
    this.#reports.recordChange(isUrgent);
    if (isAdmitted) return { kind: 'admitted', release: () => this.#release(quota) };
    this.#overQuota.recordRefusal(account.name, tokens);
    return { kind: 'refused', retryAfterMs };
  }

  /** Requests of an account that are admitted per second over the fleet, lately. */
  getFleetRate(accountName: string): number {
    return this.#quotas.get(accountName)?.getFleetRate(this.#ports.clock.now()) ?? 0;
  }

  /** Takes in a datagram of another daemon; returns whether it was valid. */
  accept(body: Buffer, address: string): boolean {
    const report = parseUsageReport(body);
    if (report && this.#hasQuotas && report.senderId !== this.#ports.selfId) {
      this.#apply(report, address);
    }
    return report !== undefined;
  }

  /** Looks at the fleet and reports what is due; to be called several times a second. */
  runTick(): void {
    if (!this.#hasQuotas) return;
    const now = this.#ports.clock.now();
    this.#refresh(now, false);
    this.#overQuota.runTick();
    this.#reporters.prune();
    const ids = this.#heard.prune(now);
    this.#list().forEach((quota) => quota.keepPeers(ids));
    this.#reports.runTick();
  }

  stop(): void {
    this.#reports.stop();
  }

  get #hasQuotas(): boolean {
    return this.#quotas.size > 0;
  }

  get #regularIntervalMs(): number {
    return computeRegularIntervalMs(this.#reporters.list().length);
  }

  #list(): readonly AccountQuota[] {
    return [...this.#quotas.values()];
  }

  #buildView(): QuotaView {
    const { selfId, listDispatcherIds } = this.#ports;
    const hasRecipients = this.#reporters.list().length > 0;
    return { selfId, dispatcherIds: listDispatcherIds(), hasRecipients };
  }

  #release(quota: AccountQuota): void {
    quota.release(this.#ports.clock.now());
    this.#reports.recordChange(false);
  }

  #apply(report: UsageReport, address: string): void {
    const now = this.#ports.clock.now();
    const heard = this.#heard.recordReport(
      { ...report, id: report.senderId },
      this.#regularIntervalMs,
      now,
    );
    if (!heard) return;
    this.#reporters.record(address, report.reporters);
    const sender = {
      id: report.senderId,
      startId: report.startId,
      startedAt: now - report.ageMs,
      wasSilent: heard.wasSilent,
    };
    report.usages.forEach((usage) =>
      this.#byHash.get(usage.account)?.applyUsage(sender, usage, now),
    );
    // Only now, since what a daemon admitted in its silence is taken from what was put aside for it.
    this.#refresh(now, false);
    if (!report.isLearning) return;
    this.#answerUntil = now + ANSWER_MS;
    this.#reports.recordChange(true);
  }

  /** Brings the view of the fleet up to date. */
  #refresh(now: number, isAdmitting: boolean): void {
    const { getWallTime, isRecipient, selfId, listDispatcherIds, getVisiblePart } = this.#ports;
    const wallTime = getWallTime();
    const gapMs = Math.max(now - this.#refreshed.at, wallTime - this.#refreshed.wallTime);
    this.#refreshed = { at: now, wallTime };
    const isTold = isAdmitting || isRecipient() || now < this.#reportedAt + TOLD_MS;
    if (gapMs > MAX_REFRESH_GAP_MS || (isTold && !this.#wasTold)) this.#reset(now);
    this.#wasTold = isTold;
    const heardPart = this.#heard.computeHeardPart(
      selfId,
      listDispatcherIds(),
      this.#regularIntervalMs,
      now,
    );
    const visiblePart = Math.min(heardPart, getVisiblePart());
    if (visiblePart === this.#visiblePart) return;
    this.#visiblePart = visiblePart;
    this.#list().forEach((quota) => quota.setVisiblePart(visiblePart, now));
  }

  #reset(now: number): void {
    this.#heard.reset(now);
    this.#list().forEach((quota) => quota.reset(now));
    this.#learningUntil = now + ANSWER_MS;
    this.#reports.recordChange(true);
  }

  #send(): void {
    const now = this.#ports.clock.now();
    this.#refresh(now, false);
    this.#reportedAt = now;
    this.#sequence += 1;
    const body = formatUsageReport({
      senderId: this.#ports.selfId,
      startId: this.#ports.startId,
      ageMs: now - this.#startedAt,
      sequence: this.#sequence,
      isLearning: now < this.#learningUntil,
      reporters: this.#ports.isRecipient() ? this.#reporters.takePassedOn() : [],
      usages: this.#chooseReported(now).map((quota) => ({
        account: hashText(quota.name),
        ...quota.takeUsage(now),
      })),
    });
    this.#ports.send(body, this.#reporters.list());
  }

  /** The accounts with changes, and in turn all others while a daemon begins anew. */
  #chooseReported(now: number): readonly AccountQuota[] {
    const all = this.#list();
    const changed = all.filter((quota) => quota.shouldReport(now)).slice(0, MAX_ROWS);
    if (now >= this.#answerUntil || now < this.#learningUntil) return changed;
    const from = this.#nextAnswer % all.length;
    const others = [...all.slice(from), ...all.slice(0, from)].filter(
      (quota) => !changed.includes(quota),
    );
    const told = others.slice(0, MAX_ROWS - changed.length);
    this.#nextAnswer = from + told.length;
    return [...changed, ...told];
  }
}
