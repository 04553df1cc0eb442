/**
 * Decides whose request it is, and whether it may run: by the accounts of the configuration in force,
 * as long as this daemon can vouch for them.
 */
import { createRefusal } from '@baobabline/core';
import type { ClientAccount, RequestError, Route, RouteTable } from '@baobabline/core';

import { readKeyDigest } from './read-key.js';

/** The account of a request, and the digest of the key that it bore. */
export type RequestAccount = {
  readonly account: ClientAccount;
  readonly keyDigest: string;
};

/** Whether this daemon may rely on the keys that it knows. */
export interface KeyValidity {
  /**
   * Whether a key that it knows is good: it would know if the key had been removed for longer than
   * the configuration's bound allows.
   */
  mayAccept(): boolean;
  /** Whether a key that it does not know is unknown to the store: its configuration is fresh. */
  mayReject(): boolean;
  /** When the next answer may differ, in milliseconds. */
  getRetryAfterMs(): number;
}

/** What keys are good for where nothing bounds the time until a removed key is refused. */
export const UNBOUNDED_KEY_VALIDITY: KeyValidity = {
  mayAccept: () => true,
  mayReject: () => true,
  getRetryAfterMs: () => 0,
};

export type KeyCheck =
  /** `caller` is undefined if the request needs no key. */
  | { readonly kind: 'allowed'; readonly caller: RequestAccount | undefined }
  | { readonly kind: 'refused'; readonly error: RequestError };

const MS_PER_SECOND = 1000;

function refuseForNow(validity: KeyValidity): KeyCheck {
  const retryAfterSeconds = validity.getRetryAfterMs() / MS_PER_SECOND;
  return { kind: 'refused', error: createRefusal('keysOutOfDate', { retryAfterSeconds }) };
}

/** Judges a request by its key. `rawHeaders` are names and values in turn. */
export function checkKey(
  rawHeaders: readonly string[],
  scheme: string,
  { accounts }: RouteTable,
  { isPublic = false }: Route,
  validity: KeyValidity,
): KeyCheck {
  if (!accounts) return { kind: 'allowed', caller: undefined };
  const keyDigest = readKeyDigest(rawHeaders, scheme);
  const account = keyDigest === undefined ? undefined : accounts.findByKey(keyDigest);
  const isKnown = keyDigest !== undefined && account !== undefined && validity.mayAccept();
  if (isKnown) return { kind: 'allowed', caller: { account, keyDigest } };
  if (isPublic) return { kind: 'allowed', caller: undefined };
  const isCertain = account === undefined && (keyDigest === undefined || validity.mayReject());
  return isCertain
    ? { kind: 'refused', error: createRefusal('unknownKey') }
    : refuseForNow(validity);
}

/** Judges once more a request that is about to be sent; returns why it may not be. */
export function checkKeyAgain(
  caller: RequestAccount | undefined,
  { accounts }: Pick<RouteTable, 'accounts'>,
  validity: KeyValidity,
): RequestError | undefined {
  if (!caller || !accounts) return undefined;
  const isHeld = accounts.findByKey(caller.keyDigest)?.name === caller.account.name;
  if (!isHeld) return createRefusal('unknownKey');
  if (validity.mayAccept()) return undefined;
  const retryAfterSeconds = validity.getRetryAfterMs() / MS_PER_SECOND;
  return createRefusal('keysOutOfDate', { retryAfterSeconds });
}
