import { Replica } from '@baobabline/core';
import type { RecordChanges, PublishedRecord, Member } from '@baobabline/core';
import { expect } from 'chai';
import fc from 'fast-check';

import { parseRecordUpdate, parsePoll } from './messages.js';
import type { RecordUpdate } from './messages.js';
import { PeerFollower } from './peer-follower.js';
import { RecordFeed } from './record-feed.js';

const READER: Member = {
  id: 'reader',
  dataCentre: 'z',
  address: '10.0.0.1',
  peerPort: 1,
  callerPort: 2,
  incarnation: 1,
  version: 1,
  state: 'serving',
  capacity: 100,
  load: 0,
};
const POLL_MS = 400;
const TICK_MS = 200;

function buildRecord(id: string, revision: number): PublishedRecord {
  const upstream = {
    id,
    service: 's',
    address: '10.0.0.9',
    port: 80,
    dataCentre: 'z',
    slots: 3,
    state: 'ready' as const,
    warmUpMs: 0,
    bornAt: 1,
  };
  return { key: `servers/${id}`, era: 1, revision, upstream };
}

/** A reader and a follower; the test can drop the datagrams between them. */
class Pair {
  now = 0;

  isLosing = false;

  fetches = 0;

  lost: readonly string[] = [];

  claims = 0;

  datagrams = 0;

  polls = 0;

  readonly readerReplica = new Replica();

  readonly followerReplica = new Replica();

  readonly feed = new RecordFeed({
    clock: { now: () => this.now },
    selfId: READER.id,
    replica: this.readerReplica,
    buildClaim: () => ({ ageMs: 5, sourceId: READER.id }),
    send: (body) => this.#acceptDatagram(parseRecordUpdate(body)),
  });

  readonly follower = new PeerFollower({
    clock: { now: () => this.now },
    log: {
      error: () => undefined,
      warn: () => undefined,
      info: () => undefined,
      shouldLogDecision: () => false,
      decision: () => undefined,
    },
    selfId: 'follower',
    isKnownSource: () => true,
    listFollowedReaders: () => [
      { member: READER, pollMs: POLL_MS, wantsPush: true, needsHelp: false },
    ],
    getRequested: () => this.followerReplica.requested,
    sendPoll: (body) => {
      this.polls += 1;
      const poll = parsePoll(body);
      if (poll && !this.isLosing) this.feed.handlePoll(poll, '10.0.0.2');
    },
    fetch: async (_, known) => {
      this.fetches += 1;
      return this.readerReplica.listChangesSince(known);
    },
    onChanges: (changes) => this.#apply(changes),
    onEras: (eras) => this.followerReplica.recordEras(eras, this.now),
    onClaim: () => {
      this.claims += 1;
    },
    onHeard: () => undefined,
    onLost: (id) => {
      this.lost = [...this.lost, id];
    },
  });

  publish(records: readonly PublishedRecord[], revision: number): void {
    this.readerReplica.applyStoreChanges(1, { records, revision, isWhole: false }, this.now);
  }

  runFor(ms: number): void {
    Array.from({ length: ms / TICK_MS }).forEach(() => {
      this.now += TICK_MS;
      this.follower.runTick();
    });
  }

  #apply(changes: RecordChanges): void {
    this.followerReplica.applyChanges(changes, this.now);
  }

  #acceptDatagram(news: RecordUpdate | undefined): void {
    this.datagrams += 1;
    if (news && !this.isLosing) this.follower.handleUpdate(news);
  }
}

async function waitForFetches(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('following a reader', () => {
  let pair: Pair;

  beforeEach(() => {
    pair = new Pair();
  });

  afterEach(() => pair.feed.stop());

  it('fetches all records first, and then applies pushed updates without another fetch', async () => {
    pair.publish([buildRecord('a', 2)], 2);
    pair.runFor(TICK_MS);
    await waitForFetches();
    expect([pair.fetches, pair.followerReplica.revision]).to.deep.equal([1, 2]);
    pair.runFor(POLL_MS);
    pair.publish([buildRecord('b', 3)], 3);
    pair.feed.sendPending();
    expect(pair.followerReplica.listUpstreams().map(({ id }) => id)).to.deep.equal(['a', 'b']);
    expect(pair.fetches).to.equal(1);
  });

  it('recovers the changes of lost datagrams with the next poll', async () => {
    pair.publish([buildRecord('a', 2)], 2);
    pair.runFor(TICK_MS);
    await waitForFetches();
    pair.isLosing = true;
    pair.publish([buildRecord('b', 3)], 3);
    pair.feed.sendPending();
    pair.publish([buildRecord('c', 4)], 4);
    pair.feed.sendPending();
    pair.isLosing = false;
    pair.runFor(POLL_MS);
    expect(pair.followerReplica.revision).to.equal(4);
    expect(pair.fetches).to.equal(1);
  });

  it('fetches changes too large for a datagram, and accepts the claim only after the fetch', async () => {
    pair.publish([buildRecord('a', 2)], 2);
    pair.runFor(TICK_MS);
    await waitForFetches();
    const { claims } = pair;
    const many = Array.from({ length: 40 }, (_, index) => buildRecord(`m${index}`, index + 3));
    pair.publish(many, 42);
    pair.feed.sendPending();
    expect([pair.claims, pair.followerReplica.revision]).to.deep.equal([claims, 2]);
    await waitForFetches();
    expect([pair.claims > claims, pair.followerReplica.revision]).to.deep.equal([true, 42]);
  });

  it('reports a reader as lost within 1.8 s after it stops answering, and never while it answers', () => {
    pair.runFor(5000);
    expect(pair.lost).to.deep.equal([]);
    pair.isLosing = true;
    pair.runFor(1800);
    expect(pair.lost).to.deep.equal([READER.id]);
  });

  it('polls again before the next poll is due while it has no answer', () => {
    pair.runFor(5000);
    pair.isLosing = true;
    const before = pair.polls;
    pair.runFor(3 * POLL_MS);
    expect(pair.polls - before).to.be.at.least(5);
  });

  it('takes no claim of a reader that lacks what is known here', async () => {
    pair.publish([buildRecord('a', 2)], 2);
    pair.runFor(TICK_MS);
    await waitForFetches();
    const changes = { records: [buildRecord('b', 3)], revision: 3, isWhole: false };
    pair.followerReplica.applyStoreChanges(1, changes, pair.now);
    const { claims } = pair;
    pair.runFor(2 * POLL_MS);
    expect(pair.claims).to.equal(claims);
    pair.publish([buildRecord('b', 3)], 3);
    pair.runFor(2 * POLL_MS);
    expect(pair.claims).to.be.greaterThan(claims);
  });

  it('sends no updates to a follower that stopped polling', () => {
    pair.runFor(TICK_MS);
    pair.now += 2000;
    pair.publish([buildRecord('a', 2)], 2);
    const before = pair.datagrams;
    pair.feed.sendPending();
    expect(pair.datagrams).to.equal(before);
  });

  it('parses arbitrary bytes as an update and as a poll without throwing', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        const body = Buffer.from(bytes);
        expect(() => [parseRecordUpdate(body), parsePoll(body)]).not.to.throw();
      }),
    );
  });
});
