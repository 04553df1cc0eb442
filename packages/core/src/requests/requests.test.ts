import { expect } from 'chai';

import { readRefusalName } from '../results/read-refusal-name.js';
import { parseRequest, PlanIndex } from './index.js';
import type { RequestHead } from './index.js';

const HEADERS = { 'baobabline-customer': 'society-1', 'baobabline-kind': 'read' };

function parse(
  changes: Readonly<Record<string, string>> = {},
  url = '/visit-desk/due?x=1',
): RequestHead {
  return parseRequest({ method: 'GET', url, headers: { ...HEADERS, ...changes } }, () => 'id-1');
}

describe('parseRequest', () => {
  it('parses the path, the service and the headers', () => {
    expect(parse()).to.deep.include({
      service: 'visit-desk',
      path: '/due?x=1',
      requestId: 'id-1',
      repeatable: true,
      timeAllowedMs: 10_000,
    });
  });

  it('treats only safe methods as repeatable unless the header says otherwise', () => {
    const post = { method: 'POST', url: '/visit-desk/', headers: HEADERS };
    expect(parseRequest(post, () => 'i').repeatable).to.equal(false);
    expect(parse({ 'baobabline-repeatable': 'false' }).repeatable).to.equal(false);
  });

  const bad: readonly (readonly [string, Readonly<Record<string, string>>, string])[] = [
    [
      'a customer name with characters that are not allowed',
      { 'baobabline-customer': 'A B' },
      'bad-header',
    ],
    ['a missing kind', { 'baobabline-kind': '' }, 'bad-header'],
    ['a deadline that is not a number', { 'baobabline-deadline-ms': 'soon' }, 'bad-header'],
    ['a deadline above the maximum', { 'baobabline-deadline-ms': '999999999' }, 'bad-header'],
    ['a deadline that has passed', { 'baobabline-deadline-ms': '-5' }, 'deadline-passed'],
    [
      'a repeatable header that is neither true nor false',
      { 'baobabline-repeatable': 'maybe' },
      'bad-header',
    ],
    ['a request id with spaces', { 'x-request-id': 'a b' }, 'bad-header'],
    [
      'an idempotency key that the fleet did not issue',
      { 'idempotency-key': 'my-key' },
      'key-not-issued',
    ],
  ];
  bad.forEach(([what, headers, name]) => {
    it(`refuses ${what}`, () => {
      expect(readRefusalName(() => parse(headers))).to.equal(name);
    });
  });

  it('refuses a path without a service', () => {
    expect(readRefusalName(() => parse({}, '/'))).to.equal('unknown-service');
  });
});

describe('PlanIndex', () => {
  const index = new PlanIndex({
    version: 1,
    customers: [{ id: 'society-1', plan: 'standard' }],
    plans: [
      {
        id: 'standard',
        ratePerSecond: 1,
        burst: 1,
        share: 1,
        services: [
          {
            name: 'visit-desk',
            kinds: [{ name: 'read', weight: 1, repeatable: false }],
            floorSlots: 0,
            detectionWeight: 1,
            falseEjectionWeight: 1,
            maxBodyBytes: 10,
          },
        ],
      },
    ],
  });

  it('lets the plan override whether a request is repeatable', () => {
    expect(index.admit(parse(), 0).repeatable).to.equal(false);
  });

  it('refuses unknown services and customers, kinds not in the plan and large bodies', () => {
    expect(readRefusalName(() => index.admit(parse({}, '/atelier/x'), 0))).to.equal(
      'unknown-service',
    );
    const unlistedCustomer = parse({ 'baobabline-customer': 'nobody' });
    expect(readRefusalName(() => index.admit(unlistedCustomer, 0))).to.equal('unknown-customer');
    const kind = parse({ 'baobabline-kind': 'book' });
    expect(readRefusalName(() => index.admit(kind, 0))).to.equal('kind-not-in-plan');
    expect(readRefusalName(() => index.admit(parse(), 11))).to.equal('body-too-large');
  });
});
