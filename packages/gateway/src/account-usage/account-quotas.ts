/**
 * The quotas of client accounts over the fleet, as this daemon keeps them: admits or refuses
 * requests, reports what it has admitted, and takes in what other daemons report.
 */
import { hashText } from '@baobabline/core';
import type { AccountQuota, ClientAccount, QuotaBounds } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import { OverQuotaLog } from './over-quota-log.js';
import { QuotaTable } from './quota-table.js';
import { UsageAudience } from './usage-audience.js';
import type { UsageAudiencePorts } from './usage-audience.js';
import { formatUsageReport, parseUsageReport } from './usage-message.js';
import type { UsageReport } from './usage-message.js';
import { UsageReports } from './usage-reports.js';
import type { UsageReportsPorts } from './usage-reports.js';

export type AccountQuotasPorts = UsageAudiencePorts & {
  readonly schedule: UsageReportsPorts['schedule'];
  readonly log: Pick<Log, 'info'>;
  /** Identifies this start of the daemon; later starts have higher numbers. */
  readonly startId: number;
  readonly bounds: QuotaBounds;
  readonly send: (body: Buffer, addresses: readonly string[]) => void;
};

/** What an admitted request holds until it has run. */
export type QuotaPermit =
  | { readonly kind: 'admitted'; readonly release: () => void }
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      /** Whether this daemon does not know yet what is left, so that a short wait may be enough. */
      readonly isLearning: boolean;
    };

const UNLIMITED: QuotaPermit = { kind: 'admitted', release: () => undefined };
/** A daemon that begins anew says so, and is told of all accounts, for this long. */
const LEARNING_MS = 1000;
/** After all daemons have started together, tokens have accrued for some requests by then. */
const UNSURE_MS = 3000;
/** As many as fit into a datagram. */
const MAX_ROWS = 48;

export class AccountQuotas {
  readonly #ports: AccountQuotasPorts;

  readonly #table: QuotaTable;

  readonly #audience: UsageAudience;

  readonly #reports: UsageReports;

  readonly #overQuota: OverQuotaLog;

  readonly #startedAt: number;

  #sequence = 0;

  #learningUntil = Number.NEGATIVE_INFINITY;

  #unsureUntil = Number.NEGATIVE_INFINITY;

  /** Until when daemons that begin anew are told of all accounts. */
  #answerUntil = Number.NEGATIVE_INFINITY;

  /** Position of the next account that they are told of. */
  #nextAnswer = 0;

  /** Accounts whose changes the followers were not told of yet. */
  readonly #untoldFollowers = new Set<AccountQuota>();

  constructor(ports: AccountQuotasPorts) {
    this.#ports = ports;
    const { clock, log, bounds, schedule, isRecipient } = ports;
    this.#startedAt = clock.now();
    this.#table = new QuotaTable(bounds);
    this.#audience = new UsageAudience(ports);
    this.#overQuota = new OverQuotaLog(clock, log);
    this.#reports = new UsageReports({
      clock,
      schedule,
      countRecipients: () => this.#audience.recipientCount,
      isExpected: () => !this.#table.isEmpty && isRecipient(),
      hasChanges: () => this.#table.list().some((quota) => quota.shouldReport(clock.now())),
      send: () => this.#send(),
    });
  }

  /** Number of accounts with refused requests lately. */
  get overQuotaCount(): number {
    return this.#overQuota.size;
  }

  /** Part of the fleet whose use of accounts is known, from 0 to 1. */
  get visiblePart(): number {
    return this.#audience.visiblePart;
  }

  /** Applies the accounts of a configuration; those without a quota need nothing. */
  setAccounts(accounts: readonly ClientAccount[]): void {
    this.#table.setAccounts(accounts, this.#audience.visiblePart, this.#now);
    if (this.#table.isEmpty) this.#reports.stop();
  }

  /** Admits or refuses a request; its permit is released if it ends without having run. */
  admit(account: ClientAccount): QuotaPermit {
    const quota = this.#table.find(account.name);
    if (!quota) return UNLIMITED;
    this.#refresh(true);
    const now = this.#now;
    const tokens = quota.getTokens(now);
    const { isAdmitted, isUrgent, retryAfterMs } = quota.admit(this.#audience.getView(), now);
    this.#reports.recordChange(isUrgent);
    if (isAdmitted) return { kind: 'admitted', release: () => this.#release(quota) };
    this.#overQuota.recordRefusal(account.name, tokens);
    return { kind: 'refused', retryAfterMs, isLearning: now < this.#unsureUntil };
  }

  /** Requests of an account that are admitted per second over the fleet, lately. */
  getFleetRate(accountName: string): number {
    const quota = this.#table.find(accountName);
    return quota?.getFleetRate(this.#audience.getView(), this.#now) ?? 0;
  }

  /** Takes in a datagram of another daemon; returns whether it was valid. */
  accept(body: Buffer, address: string): boolean {
    const report = parseUsageReport(body);
    if (report && !this.#table.isEmpty && report.senderId !== this.#ports.selfId) {
      this.#apply(report, address);
    }
    return report !== undefined;
  }

  /** Looks at the fleet and reports what is due; to be called several times a second. */
  runTick(): void {
    if (this.#table.isEmpty) return;
    this.#refresh(false);
    this.#overQuota.runTick();
    const ids = this.#audience.prune();
    this.#table.list().forEach((quota) => quota.keepPeers(ids));
    this.#reports.runTick();
  }

  stop(): void {
    this.#reports.stop();
  }

  get #now(): number {
    return this.#ports.clock.now();
  }

  #release(quota: AccountQuota): void {
    quota.release(this.#now);
    this.#reports.recordChange(false);
  }

  #apply(report: UsageReport, address: string): void {
    const { senderId: id, startId, ageMs, isLearning, usages } = report;
    const now = this.#now;
    const heard = this.#audience.recordReport(report, address);
    if (!heard) return;
    const view = this.#audience.getView();
    const sender = { id, startId, startedAt: now - ageMs, isLearning, ...heard };
    const isFollower = !view.dispatcherIds.includes(id);
    usages.forEach((usage) => {
      const quota = this.#table.findByHash(usage.account);
      quota?.applyUsage(sender, usage, view, now);
      if (isFollower) quota?.scheduleReport(now);
    });
    // Only now, since what a daemon admitted in its silence is taken from what was put aside for it.
    this.#refresh(false);
    if (isLearning) this.#answerUntil = now + LEARNING_MS;
    if (isLearning || isFollower) this.#reports.recordChange(isLearning);
  }

  /** Brings the view of the fleet up to date. */
  #refresh(isAdmitting: boolean): void {
    const now = this.#now;
    const { visiblePart: before } = this.#audience;
    const shouldReset = this.#audience.refresh(isAdmitting);
    const { visiblePart } = this.#audience;
    if (shouldReset) {
      this.#table.list().forEach((quota) => quota.reset(now));
      this.#learningUntil = now + LEARNING_MS;
      this.#unsureUntil = now + UNSURE_MS;
      this.#reports.recordChange(true);
    }
    if (visiblePart === before) return;
    this.#table.list().forEach((quota) => quota.setVisiblePart(visiblePart, now));
  }

  #send(): void {
    this.#refresh(false);
    const now = this.#now;
    const { selfId, startId, send } = this.#ports;
    const areFollowersTold = this.#audience.areFollowersDue;
    const addresses = this.#audience.takeRecipients();
    const view = this.#audience.getView();
    const reported = this.#chooseReported(now, areFollowersTold);
    this.#audience.recordSent();
    this.#sequence += 1;
    const body = formatUsageReport({
      senderId: selfId,
      startId,
      ageMs: now - this.#startedAt,
      sequence: this.#sequence,
      isLearning: now < this.#learningUntil,
      recipientCount: this.#audience.totalCount,
      usages: reported.map((quota) => ({
        account: hashText(quota.name),
        ...quota.takeUsage(view, now),
      })),
    });
    send(body, addresses);
  }

  /** The accounts with changes, and in turn all others while a daemon begins anew. */
  #chooseReported(now: number, areFollowersTold: boolean): readonly AccountQuota[] {
    const all = this.#table.list();
    const changed = all
      .filter(
        (quota) =>
          quota.shouldReport(now) || (areFollowersTold && this.#untoldFollowers.has(quota)),
      )
      .slice(0, MAX_ROWS);
    changed.forEach((quota) => {
      if (areFollowersTold) this.#untoldFollowers.delete(quota);
      else this.#untoldFollowers.add(quota);
    });
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
