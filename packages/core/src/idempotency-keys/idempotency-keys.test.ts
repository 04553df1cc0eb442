import { expect } from 'chai';

import { createRefusal } from '../results/index.js';
import { readRefusalName } from '../results/read-refusal-name.js';
import { formatKeyPrefix, IdempotencyKeyStore, parseKey } from './index.js';

const OWNER = { daemonId: 'entry-1', incarnation: 7 };
const SETTINGS = { maxKeys: 3, maxTotalAnswerBytes: 100 };

function createKey(nonce: string, expiresAt = 1000): string {
  return `${formatKeyPrefix({ ...OWNER, expiresAt })}${nonce.padEnd(8, '0')}`;
}

describe('idempotency keys', () => {
  it('are parsed into the values that they were formatted from', () => {
    expect(parseKey(createKey('abc'))).to.deep.equal({ ...OWNER, expiresAt: 1000 });
  });

  it('are not parsed if the issued prefix is missing or the nonce is too short', () => {
    expect(parseKey('550e8400-e29b-41d4-a716-446655440000')).to.equal(undefined);
    expect(parseKey(`${formatKeyPrefix({ ...OWNER, expiresAt: 1 })}short`)).to.equal(undefined);
  });
});

describe('IdempotencyKeyStore', () => {
  it('runs a request once and repeats its answer for the same key', () => {
    const ledger = new IdempotencyKeyStore<string>(OWNER, SETTINGS);
    const key = createKey('a');
    expect(ledger.begin(key, 'f', 0)).to.deep.equal({ kind: 'run' });
    expect(ledger.begin(key, 'f', 1)).to.deep.equal({ kind: 'wait' });
    ledger.settle(key, { kind: 'answered', answer: 'yes', bytes: 3 });
    const decision = ledger.begin(key, 'f', 2);
    expect(decision).to.deep.equal({
      kind: 'repeat',
      settlement: { kind: 'answered', answer: 'yes', bytes: 3 },
    });
  });

  it('repeats an unknown outcome instead of running the request again', () => {
    const ledger = new IdempotencyKeyStore<string>(OWNER, SETTINGS);
    const key = createKey('a');
    ledger.begin(key, 'f', 0);
    ledger.settle(key, { kind: 'unknown', error: createRefusal('upstreamLost') });
    expect(ledger.begin(key, 'f', 1).kind).to.equal('repeat');
  });

  it('allows a key to be used again if its request did not run', () => {
    const ledger = new IdempotencyKeyStore<string>(OWNER, SETTINGS);
    const key = createKey('a');
    ledger.begin(key, 'f', 0);
    ledger.settle(key, { kind: 'unknown', error: createRefusal('noCapacity') });
    expect(ledger.begin(key, 'f', 1).kind).to.equal('run');
  });

  it('refuses an expired key even after evicting it', () => {
    const ledger = new IdempotencyKeyStore<string>(OWNER, SETTINGS);
    const key = createKey('a');
    ledger.begin(key, 'f', 0);
    ledger.settle(key, { kind: 'answered', answer: 'yes', bytes: 3 });
    ledger.runTick(1000);
    expect(ledger.size).to.equal(0);
    expect(readRefusalName(() => ledger.begin(key, 'f', 1000))).to.equal('key-expired');
  });

  it('keeps an expired key while its request is running', () => {
    const ledger = new IdempotencyKeyStore<string>(OWNER, SETTINGS);
    ledger.begin(createKey('a'), 'f', 0);
    ledger.runTick(5000);
    expect(ledger.size).to.equal(1);
  });

  it('refuses new keys when it has too many keys or too many answer bytes', () => {
    const ledger = new IdempotencyKeyStore<string>(OWNER, SETTINGS);
    ['a', 'b', 'c'].forEach((nonce) => ledger.begin(createKey(nonce), 'f', 0));
    expect(readRefusalName(() => ledger.begin(createKey('d'), 'f', 0))).to.equal('keys-full');
    const other = new IdempotencyKeyStore<string>(OWNER, SETTINGS);
    other.begin(createKey('a'), 'f', 0);
    other.settle(createKey('a'), { kind: 'answered', answer: 'yes', bytes: 100 });
    expect(readRefusalName(() => other.begin(createKey('b'), 'f', 0))).to.equal('keys-full');
  });

  it('refuses a key that was used for another request', () => {
    const ledger = new IdempotencyKeyStore<string>(OWNER, SETTINGS);
    ledger.begin(createKey('a'), 'f', 0);
    expect(readRefusalName(() => ledger.begin(createKey('a'), 'g', 0))).to.equal('key-reused');
  });
});
