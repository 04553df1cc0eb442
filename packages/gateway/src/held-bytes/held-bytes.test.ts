import { expect } from 'chai';

import { createRandom } from '@baobabline/core';

import { BodyBuffer } from './body-buffer.js';
import { HeldBytes } from './held-bytes.js';
import type { HeldAnswer } from './held-answer.js';

const MAX_BYTES = 1000;

describe('the bytes that are held for requests and answers', () => {
  let held: HeldBytes;
  let evicted: readonly string[] = [];

  beforeEach(() => {
    held = new HeldBytes(MAX_BYTES);
    evicted = [];
  });

  function createAnswer(upstreamId: string, bytes: number): HeldAnswer {
    const answer = held.createAnswer(upstreamId, () => {
      evicted = [...evicted, `${upstreamId} ${bytes}`];
    });
    answer.add(bytes);
    return answer;
  }

  it('cut the largest answer of the upstream that holds most, and no larger one of another', () => {
    createAnswer('sound', 400);
    createAnswer('endless', 150);
    createAnswer('endless', 200);
    createAnswer('endless', 200);
    expect(evicted).to.deep.equal([]);
    createAnswer('other', 100);
    expect(evicted).to.deep.equal(['endless 200']);
    expect(held.total).to.equal(850);
  });

  it('cut the answer itself that has no end where it is alone', () => {
    const answer = createAnswer('endless', 900);
    answer.add(200);
    expect([evicted.length, held.total]).to.deep.equal([1, 0]);
    answer.add(5000);
    answer.close();
    expect([evicted.length, held.total]).to.deep.equal([1, 0]);
  });

  it('make room for requests by cutting answers only while these take up most', () => {
    createAnswer('endless', 700);
    expect(held.acquire(250)).to.equal(true);
    expect(held.mayAcquire(300)).to.equal(true);
    expect(held.acquire(300)).to.equal(true);
    expect([evicted.length, held.total]).to.deep.equal([1, 550]);
    createAnswer('sound', 200);
    expect(held.mayAcquire(300)).to.equal(false);
    expect(held.acquire(300)).to.equal(false);
    expect([evicted.length, held.total]).to.deep.equal([1, 750]);
  });

  it('are within the sum whatever comes and goes, and none are left at the end', () => {
    const random = createRandom(7);
    let reserved: readonly number[] = [];
    const answers: HeldAnswer[] = [];
    Array.from({ length: 5000 }).forEach(() => {
      const bytes = Math.floor(random.next() * 300);
      const what = random.next();
      if (what < 0.3) answers.push(createAnswer(`u${Math.floor(random.next() * 4)}`, bytes));
      else if (what < 0.6)
        answers.splice(Math.floor(random.next() * answers.length), 1)[0]?.close();
      else if (what < 0.8) {
        if (held.acquire(bytes)) reserved = [...reserved, bytes];
      } else if (reserved.length > 0) {
        held.release(reserved[0] ?? 0);
        reserved = reserved.slice(1);
      }
      expect(held.total).to.be.within(0, MAX_BYTES);
    });
    answers.forEach((answer) => answer.close());
    reserved.forEach((bytes) => held.release(bytes));
    expect(held.total).to.equal(0);
  });
});

describe('the answers of downloads', () => {
  let now = 0;
  let held: HeldBytes;
  let evicted: readonly string[] = [];

  beforeEach(() => {
    now = 0;
    evicted = [];
    held = new HeldBytes(MAX_BYTES, { now: () => now });
    held.setMayEvictUnread(true);
  });

  function addUnread(name: string, bytes: number, unread = bytes): void {
    held.addUnread(bytes, {
      countUnread: () => unread,
      onEvicted: () => {
        evicted = [...evicted, name];
      },
    });
  }

  // Answers that were sent for one after the other came in at the same time, and had no room together.
  it('have their bytes reserved before they come, and leave room to other requests', () => {
    const answers = [200, 200, 200].flatMap((bytes) =>
      held.evictUnreadFor(bytes) > 0 ? [] : [held.createAnswer('u', () => undefined, bytes)],
    );
    expect([answers.length, held.total, held.evictUnreadFor(200)]).to.deep.equal([3, 600, 50]);
    expect(held.acquire(400)).to.equal(true);
    expect(held.computeReservation(5000)).to.equal(500);
    answers[0]?.add(150);
    expect(held.total).to.equal(1000);
    answers.forEach((answer) => answer.close());
    expect(held.total).to.equal(400);
  });

  it('are closed where memory is short and callers do not read, the largest and oldest first', () => {
    addUnread('small', 100);
    addUnread('large', 300);
    addUnread('nearly read', 300, 10);
    now += 1500;
    addUnread('late', 250);
    now += 600;
    expect(held.acquire(50)).to.equal(true);
    expect([evicted, held.mayAcquire(300)]).to.deep.equal([[], true]);
    expect(held.acquire(300)).to.equal(true);
    expect([evicted, held.total]).to.deep.equal([['large'], 1000]);
    expect(held.acquire(120)).to.equal(true);
    expect(evicted).to.deep.equal(['large', 'small', 'nearly read']);
    expect(held.acquire(500)).to.equal(false);
    expect(evicted).to.deep.equal(['large', 'small', 'nearly read']);
  });

  it('are not closed where the configuration has no downloads', () => {
    held.setMayEvictUnread(false);
    addUnread('large', 900);
    now += 60_000;
    expect([held.mayAcquire(200), held.acquire(200), evicted]).to.deep.equal([false, false, []]);
  });
});

describe('the bytes of a body', () => {
  it('come back in order, and take at most twice their number however small the pieces are', () => {
    const random = createRandom(3);
    [1, 7, 5000].forEach((longest) => {
      let asked = 0;
      const body = new BodyBuffer((bytes) => {
        asked += bytes;
      });
      const sent = Array.from({ length: 3000 }, (_, index) =>
        Buffer.alloc(1 + Math.floor(random.next() * longest), index % 251),
      );
      sent.forEach((piece) => body.add(piece));
      const whole = Buffer.concat(sent);
      expect(Buffer.concat([...body.finish()]).equals(whole)).to.equal(true);
      expect(body.bytes).to.equal(whole.length);
      expect(asked).to.be.at.most(Math.max(1024, 2 * whole.length));
    });
  });

  it('are copied, so that the buffer they were read into can be used again', () => {
    const body = new BodyBuffer(() => undefined);
    const buffer = Buffer.from('first');
    body.add(buffer);
    buffer.write('other');
    expect(Buffer.concat([...body.finish()]).toString()).to.equal('first');
  });
});
