import { expect } from 'chai';

import { createRefusal } from '../results/index.js';
import { readRefusalName } from '../results/read-refusal-name.js';
import { formatKeyPrefix, KeyLedger, parseKey } from './index.js';

const OWNER = { daemonId: 'entry-1', incarnation: 7 };
const SETTINGS = { maxKeys: 3, maxAnswerBytes: 100 };

function createKey(nonce: string, expiresAt = 1000): string {
  return `${formatKeyPrefix({ ...OWNER, expiresAt })}${nonce.padEnd(8, '0')}`;
}

describe('keys', () => {
  it('are read back as they were issued', () => {
    expect(parseKey(createKey('abc'))).to.deep.equal({ ...OWNER, expiresAt: 1000 });
  });

  it('of a caller alone are no keys of the fleet', () => {
    expect(parseKey('550e8400-e29b-41d4-a716-446655440000')).to.equal(undefined);
    expect(parseKey(`${formatKeyPrefix({ ...OWNER, expiresAt: 1 })}short`)).to.equal(undefined);
  });
});

describe('KeyLedger', () => {
  it('lets a key run once, and repeats its answer', () => {
    const ledger = new KeyLedger<string>(OWNER, SETTINGS);
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

  it('repeats an unknown outcome instead of running again', () => {
    const ledger = new KeyLedger<string>(OWNER, SETTINGS);
    const key = createKey('a');
    ledger.begin(key, 'f', 0);
    ledger.settle(key, { kind: 'unknown', error: createRefusal('upstreamLost') });
    expect(ledger.begin(key, 'f', 1).kind).to.equal('repeat');
  });

  it('lets a key that provably did not run be sent again', () => {
    const ledger = new KeyLedger<string>(OWNER, SETTINGS);
    const key = createKey('a');
    ledger.begin(key, 'f', 0);
    ledger.settle(key, { kind: 'unknown', error: createRefusal('noCapacity') });
    expect(ledger.begin(key, 'f', 1).kind).to.equal('run');
  });

  it('never runs an expired key, though it has forgotten it', () => {
    const ledger = new KeyLedger<string>(OWNER, SETTINGS);
    const key = createKey('a');
    ledger.begin(key, 'f', 0);
    ledger.settle(key, { kind: 'answered', answer: 'yes', bytes: 3 });
    ledger.runTick(1000);
    expect(ledger.size).to.equal(0);
    expect(readRefusalName(() => ledger.begin(key, 'f', 1000))).to.equal('key-expired');
  });

  it('keeps a running key past its expiry', () => {
    const ledger = new KeyLedger<string>(OWNER, SETTINGS);
    ledger.begin(createKey('a'), 'f', 0);
    ledger.runTick(5000);
    expect(ledger.size).to.equal(1);
  });

  it('refuses new keys when it is full, by count and by bytes', () => {
    const ledger = new KeyLedger<string>(OWNER, SETTINGS);
    ['a', 'b', 'c'].forEach((nonce) => ledger.begin(createKey(nonce), 'f', 0));
    expect(readRefusalName(() => ledger.begin(createKey('d'), 'f', 0))).to.equal('keys-full');
    const other = new KeyLedger<string>(OWNER, SETTINGS);
    other.begin(createKey('a'), 'f', 0);
    other.settle(createKey('a'), { kind: 'answered', answer: 'yes', bytes: 100 });
    expect(readRefusalName(() => other.begin(createKey('b'), 'f', 0))).to.equal('keys-full');
  });

  it('refuses a key that belongs to another request', () => {
    const ledger = new KeyLedger<string>(OWNER, SETTINGS);
    ledger.begin(createKey('a'), 'f', 0);
    expect(readRefusalName(() => ledger.begin(createKey('a'), 'g', 0))).to.equal('key-reused');
  });
});
