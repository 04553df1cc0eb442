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
