/**
 * The client accounts of a soak: one whose callers do what they always do, one that sends far beyond
 * its quota, and one whose only key is removed midway and whose callers go on using it.
 */
import type { PublishedAccount } from '@baobabline/stand-ins';

import type { Quota } from './types.js';

/** The account of a caller, and the key that it sends. */
export type SoakAccount = { readonly name: string; readonly key: string };

export const MAIN_ACCOUNT: SoakAccount = { name: 'main', key: 'key-of-the-main-account' };
export const FLOODING_ACCOUNT: SoakAccount = { name: 'flooding', key: 'key-of-a-flooding-account' };
export const REMOVED_ACCOUNT: SoakAccount = { name: 'removed', key: 'key-that-is-removed' };

/** Bounds that the gateways are given, as texts `name=value`. */
export const ACCOUNT_BOUNDS: readonly string[] = [
  'strictRevocation=true',
  'revokeS=5',
  'quotaWindowS=5',
  'quotaOvershoot=0.25',
  'quotaSlack=20',
];

/** A request may run for so long after the store has accepted the removal of its key. */
export const REVOCATION_MS = 5000;

export const FLOODING_QUOTA: Quota = {
  account: FLOODING_ACCOUNT.name,
  perSecond: 10,
  burst: 10,
  windowMs: 5000,
  overshoot: 0.25,
  slack: 20,
};

/** The accounts of a configuration; the key of one of them may have been removed. */
export function buildAccounts(isKeyRemoved: boolean): readonly PublishedAccount[] {
  return [
    { name: MAIN_ACCOUNT.name, apiKeys: [MAIN_ACCOUNT.key] },
    {
      name: FLOODING_ACCOUNT.name,
      apiKeys: [FLOODING_ACCOUNT.key],
      ratePerS: FLOODING_QUOTA.perSecond,
      burst: FLOODING_QUOTA.burst,
      priority: 2,
    },
    { name: REMOVED_ACCOUNT.name, apiKeys: isKeyRemoved ? [] : [REMOVED_ACCOUNT.key] },
  ];
}
