import {
  CrashQuarantine,
  DEFAULT_MEMBERSHIP_SETTINGS,
  createRandom,
  FailureEstimator,
  FleetRoles,
  Membership,
  Replica,
  UpstreamRateLimit,
} from '@baobabline/core';
import { expect } from 'chai';
import fc from 'fast-check';
import { IncomingMessage, ServerResponse } from 'node:http';
import { isIP, Socket } from 'node:net';

import {
  exchangeRowsSchema,
  formatBody,
  formatExchange,
  parseBody,
  parseExchange,
} from './datagrams/index.js';
import { changesSchema } from './peers/index.js';
import { formatQuarantineReport, parseQuarantineReport } from './crash-quarantine/index.js';
import { parseLeaseAnswer, parseLeaseQuestion } from './key-lease/messages.js';
import { parseRateLimits } from './rate-limits/rate-limit-message.js';
import {
  formatRecords,
  formatRecordUpdate,
  parsePoll,
  parseRecordUpdate,
} from './record-sync/messages.js';
import { RecordFeed } from './record-sync/record-feed.js';
import { PeerLoads } from './requests/index.js';
import { parseReport } from './reports/report-message.js';
import { ResponseParser } from './upstreams/response-parser.js';
import type { ResponseHead } from './upstreams/response-parser.js';

/** Set `FUZZ_SEED` and `FUZZ_RUNS` for a longer search by hand. */
const SEED = Number(process.env.FUZZ_SEED ?? 34);
const RUNS = Number(process.env.FUZZ_RUNS ?? 400);
const MAX_TIMER_MS = 2 ** 31 - 1;
/** Chance of a field to be as it should, in tenths. */
const VALID_WEIGHT = 9;

const ODD_NUMBERS = [
  [-1, -0, 0.5, 1e300, -1e308, Number.NaN, Infinity, -Infinity],
  [65_536, 99_999, 2 ** 31, 2 ** 32, 2 ** 53 - 1, 2 ** 53, 8.64e15],
].flat();

const oddValue = fc.oneof(
  fc.constantFrom<unknown>(...ODD_NUMBERS),
  fc.constantFrom<unknown>('', 'db.example', '999.1.1.1', '__proto__', '\r\n', 'x'.repeat(5000)),
  fc.constantFrom<unknown>(null, true, [], {}, [[]], [null]),
  fc.string({ unit: 'binary', maxLength: 12 }),
);

function buildOrOdd(valid: fc.Arbitrary<unknown>): fc.Arbitrary<unknown> {
  return fc.oneof({ weight: VALID_WEIGHT, arbitrary: valid }, { weight: 1, arbitrary: oddValue });
}

function buildRow(...fields: readonly fc.Arbitrary<unknown>[]): fc.Arbitrary<unknown> {
  return buildOrOdd(fc.tuple(...fields.map(buildOrOdd)));
}

function buildList(row: fc.Arbitrary<unknown>): fc.Arbitrary<unknown> {
  return buildOrOdd(fc.array(row, { maxLength: 6 }));
}

const id = fc.constantFrom('vm-0', 'vm-1', 'vm-2', 'vm-3');
const upstreamId = fc.constantFrom('i-1', 'i-2', 'i-3');
const address = fc.ipV4();
const port = fc.integer({ min: 1, max: 65_535 });
const time = fc.integer({ min: 0, max: 1e6 });
const zone = fc.constantFrom('a', 'b');
const era = fc.nat(3);
const revision = fc.integer({ min: 0, max: 60 });
const known = buildList(fc.tuple(era, revision));

const memberRow = buildRow(
  id,
  address,
  port,
  port,
  zone,
  time,
  fc.nat(9),
  fc.nat(5),
  fc.integer({ min: 1, max: 900 }),
  time,
);
const upstreamRow = buildRow(
  upstreamId,
  fc.constant('s'),
  address,
  port,
  zone,
  fc.integer({ min: 1, max: 9 }),
  fc.boolean(),
  time,
  time,
);

function check<Value>(arbitrary: fc.Arbitrary<Value>, verify: (value: Value) => void): void {
  fc.assert(fc.property(arbitrary, verify), { seed: SEED, numRuns: RUNS });
}

describe('what comes from other daemons and from upstreams', () => {
  it('gives only members that can be called, chosen and told of', () => {
    const messages = fc.array(buildRow(memberRow, buildList(memberRow)), { maxLength: 8 });
    check(messages, (bodies) => {
      let now = 0;
      const clock = { now: () => now };
      const self = { id: 'vm-0', dataCentre: 'a', address: '10.0.0.1', peerPort: 1, callerPort: 2 };
      const membership = new Membership(
        { ...self, incarnation: 5, version: 1, state: 'serving', capacity: 9, load: 0 },
        DEFAULT_MEMBERSHIP_SETTINGS,
        { clock, random: createRandom(1) },
      );
      const roles = new FleetRoles(self, 1, {
        clock,
        getRevision: () => membership.revision,
        listCandidates: () => membership.listPresent(),
      });
      bodies.forEach((body) => {
        now += 700;
        const rows = parseBody(formatBody(body), exchangeRowsSchema);
        if (rows)
          membership.applyUpdates([parseExchange(rows).from, ...parseExchange(rows).updates]);
        membership.runTick();
        expect(roles.listAllDispatchers()).not.to.deep.equal([]);
        const sent = formatExchange({
          from: membership.self,
          updates: membership.members.list(),
          versions: [],
        });
        expect(exchangeRowsSchema.parse(sent)).to.deep.equal(sent);
      });
      membership.members.list().forEach((member) => {
        expect(isIP(member.address)).to.be.greaterThan(0);
        expect([member.peerPort, member.callerPort].every((one) => one < 65_536)).to.equal(true);
        expect(member.capacity).to.be.greaterThan(0).and.at.most(1e9);
        expect(member.incarnation + 1).to.be.greaterThan(member.incarnation);
      });
    });
  });

  it('gives only records that a replica can hold and pass on', () => {
    const record = fc.tuple(
      buildOrOdd(upstreamId),
      buildOrOdd(era),
      buildOrOdd(revision),
      fc.oneof(upstreamRow, fc.constant(null)),
    );
    const rows = buildList(
      record.map(([name, one, at, row]) => [`servers/${String(name)}`, one, at, row]),
    );
    const claim = fc.oneof(buildRow(time, id), fc.constant(null));
    const update = buildRow(id, known, known, known, claim, rows);
    check(fc.array(update, { maxLength: 8 }), (bodies) => {
      const replica = new Replica();
      bodies.forEach((body, index) => {
        const news = parseRecordUpdate(formatBody(body));
        if (news?.claim) expect(news.claim.ageMs).to.be.within(0, MAX_TIMER_MS);
        if (news) {
          const { records = [], known: theirs, eras } = news;
          replica.applyChanges(
            { records, known: theirs, eras, completeAt: undefined, isWhole: index % 2 === 0 },
            index * 1000,
          );
        }
        replica.runTick(index * 1000);
        const changes = replica.listChangesSince([]);
        const sent: unknown = JSON.parse(JSON.stringify(changes));
        expect(changesSchema.parse(sent).records).to.have.length(changes.records.length);
        replica.listUpstreams().forEach((upstream) => {
          expect(upstream.port).to.be.within(1, 65_535);
          expect(upstream.address).to.match(/^\d+\.\d+\.\d+\.\d+$|:/);
        });
        const head = { id: 'vm-1', base: [], known: changes.known, eras: changes.eras };
        const packed = formatRecordUpdate(
          { ...head, claim: undefined },
          formatRecords(changes.records),
        );
        expect(parseRecordUpdate(packed)?.known).to.deep.equal(changes.known);
      });
    });
  });

  it('is answered where it is a poll, and in a datagram that others can read', () => {
    check(buildRow(id, known, fc.boolean(), fc.boolean()), (body) => {
      const poll = parsePoll(formatBody(body));
      if (!poll) return;
      let sent: readonly Buffer[] = [];
      const feed = new RecordFeed({
        clock: { now: () => 0 },
        selfId: 'vm-0',
        replica: new Replica(),
        buildClaim: () => undefined,
        send: (update) => {
          sent = [...sent, update];
        },
      });
      feed.handlePoll(poll, '10.0.0.1');
      feed.stop();
      expect(sent.map((update) => parseRecordUpdate(update)?.id)).to.deep.equal(['vm-0']);
    });
  });

  it('leaves no upstream out of trust for good, and no load below zero', () => {
    const load = buildList(buildRow(fc.nat(3), fc.nat(9)));
    const outcomes = buildList(buildRow(fc.constant(1), fc.constantFrom(0, 1), time));
    check(fc.array(buildRow(id, time, time, load, outcomes), { maxLength: 8 }), (bodies) => {
      const clock = { now: () => 1e7 };
      const loads = new PeerLoads(clock);
      const trust = new FailureEstimator();
      bodies.forEach((body) => {
        const report = parseReport(formatBody(body));
        if (report?.inFlight) loads.record(report.reporterId, report.inFlight);
        report?.outcomes.forEach(({ isGood, ageMs }) =>
          trust.record({ upstreamId: 'u', isGood, at: clock.now() - ageMs }),
        );
      });
      [0, 1, 2, 3].forEach((name) => expect(loads.count(name)).to.be.within(0, 1e12));
      Array.from({ length: 200 }).forEach((_, index) =>
        trust.record({ upstreamId: 'u', isGood: true, at: clock.now() + 1 + index * 100 }),
      );
      expect(trust.isSuspect('u', clock.now() + 20_000)).to.equal(false);
    });
  });

  it('quarantines no request for ever, and passes on what others can read', () => {
    const crash = buildRow(fc.nat(9), time, fc.nat(100));
    const suspect = buildRow(
      fc.constantFrom('a', 'b'),
      fc.option(time),
      fc.option(time),
      buildList(crash),
    );
    check(buildRow(fc.boolean(), buildList(suspect)), (body) => {
      let now = 1e7;
      const quarantine = new CrashQuarantine({
        clock: { now: () => now },
        mayTry: () => true,
        onChange: () => undefined,
      });
      const report = parseQuarantineReport(formatBody(body), now);
      report?.suspects.forEach((row) => quarantine.applyReport(row));
      const suspects = quarantine.listReportable();
      const sent = formatQuarantineReport({ isQuery: false, suspects }, now);
      expect(parseQuarantineReport(sent, now)?.suspects).to.have.length(suspects.length);
      now += 2 * 3_600_000 + 1;
      quarantine.runTick();
      expect(['a', 'b'].map((one) => quarantine.judge(one).kind)).not.to.include('refused');
    });
  });

  it('sets no rate limit under which nothing is ever sent', () => {
    const limit = fc.oneof(fc.integer({ min: 0, max: 100 }), fc.constant(null));
    check(buildList(buildRow(fc.nat(3), limit, time)), (body) => {
      const rateLimit = new UpstreamRateLimit();
      parseRateLimits(formatBody(body))?.forEach(({ perSecond, ageMs }) =>
        rateLimit.applyReport({ perSecond, statedAt: 1e7 - ageMs }),
      );
      rateLimit.mayStart(1, 1e7);
      expect(rateLimit.mayStart(1, 1e7 + 60_000)).to.equal(true);
    });
  });

  it('is refused where it is a datagram of any bytes, and read no further', () => {
    check(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      const body = Buffer.from(bytes);
      [parsePoll, parseRecordUpdate, parseReport, parseRateLimits].forEach((parse) => parse(body));
      parseQuarantineReport(body, 0);
      [parseLeaseQuestion, parseLeaseAnswer].forEach((parse) => parse(body));
      parseBody(body, exchangeRowsSchema);
      expect(parsePoll(formatBody(['vm-1', [], true, false]))?.id).to.equal('vm-1');
    });
  });

  it('is sent on to a caller where it is the answer of an upstream, or refused', () => {
    const text = fc.string({ unit: 'binary', maxLength: 12 });
    const part = (valid: string): fc.Arbitrary<string> =>
      fc.oneof(
        { weight: VALID_WEIGHT, arbitrary: fc.constant(valid) },
        { weight: 1, arbitrary: text },
      );
    const answer = fc.tuple(
      part('HTTP/1.1 '),
      part('200'),
      part(' OK\r\n'),
      part('x-a: b\r\n'),
      part('x-utf: \u00c3\u0080\r\n'),
      part('Content-Length: 2\r\n'),
      part('\r\n'),
      part('ok'),
    );
    check(fc.tuple(answer, fc.nat(60)), ([parts, cut]) => {
      let heads: readonly ResponseHead[] = [];
      const parser = new ResponseParser({
        onHead: (head) => {
          heads = [...heads, head];
          return false;
        },
        onBody: () => undefined,
        onEnd: () => false,
      });
      const bytes = Buffer.from(parts.join(''), 'latin1');
      const isFaulty = parser.parse(bytes.subarray(0, cut)) !== undefined;
      if (!isFaulty) parser.parse(bytes.subarray(cut));
      heads.forEach(({ status, statusText, headers }) => {
        const response = new ServerResponse(new IncomingMessage(new Socket()));
        response.writeHead(status, statusText, [...headers]);
      });
    });
  });
});
