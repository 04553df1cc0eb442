/**
 * Questions to a running daemon over its operators' listener.
 */
import { BaseError } from '@baobabline/core';
import type { Status } from '@baobabline/daemon';
import process from 'node:process';
import { request as sendHttp } from 'undici';

export const QuestionError = BaseError.subclass('QuestionError');

export type Target = { readonly operator: string; readonly json: boolean };

export type EntriesOptions = Target & {
  readonly customer: string;
  readonly service: string;
};

const TIMEOUT_MS = 5000;

async function ask<Answer>(target: Target, path: string): Promise<Answer> {
  const url = new URL(path, target.operator);
  const response = await sendHttp(url, {
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  }).catch((error: Error) => {
    throw new QuestionError(`No daemon answers at ${target.operator}: ${error.message}`);
  });
  const body = await response.body.json();
  if (response.statusCode === 404)
    throw new QuestionError(`${target.operator} knows nothing of it`);
  if (response.statusCode >= 400) throw new QuestionError(JSON.stringify(body));
  return body as Answer;
}

function print(lines: readonly string[]): void {
  process.stdout.write(`${lines.join('\n')}\n`);
}

function formatStatus(status: Status): readonly string[] {
  const serving = status.members.filter(({ state }) => state === 'serving');
  return [
    `${status.self.id} in ${status.self.dataCentre}: ${status.phase}, ${status.inFlight} in flight`,
    `members: ${serving.length} serving of ${status.members.length}${status.seesWholeFleet ? '' : ' (the VM list names more: the fleet may be split)'}`,
    ...status.members
      .filter(({ state }) => state !== 'serving')
      .map((member) => `  ${member.id}: ${member.state}`),
    ...status.brokenLinks.map((id) => `  ${id}: others reach it, this daemon does not`),
    ...status.documents.map(({ id, version }) => `${id}: version ${version}`),
    ...status.unreachableUpstreams.map((id) => `unreachable: ${id}`),
    ...status.services.flatMap((service) => [
      `${service.service}: ${service.busySlots} of ${service.ownSlots} own slots busy, ${service.waiting} waiting, floor ${service.floorSlots} slots`,
      ...service.ejections.map(
        (row) => `  ${row.id}: ${row.phase} (${row.scope}), ${row.flaps} flaps`,
      ),
      ...service.keptByFloor.map((id) => `  ${id}: suspect, kept by the floor`),
    ]),
  ];
}

/** Prints what a daemon sees. */
export async function runStatus(target: Target): Promise<void> {
  const status = await ask<Status>(target, '/status');
  print(target.json ? [JSON.stringify(status)] : formatStatus(status));
}

/** Prints which addresses a daemon would name to a caller. */
export async function runEntries(options: EntriesOptions): Promise<void> {
  const query = new URLSearchParams({ customer: options.customer, service: options.service });
  const answer = await ask<{
    readonly holdSeconds: number;
    readonly entries: readonly {
      readonly id: string;
      readonly address: string;
      readonly port: number;
      readonly dataCentre: string;
    }[];
  }>(options, `/entries?${query.toString()}`);
  const lines = answer.entries.map(
    ({ id, address, port, dataCentre }) => `${address}:${port} ${id} ${dataCentre}`,
  );
  print(options.json ? [JSON.stringify(answer)] : [...lines, `hold for ${answer.holdSeconds} s`]);
}

/** Prints why a request went where it went. */
export async function runExplain(target: Target, requestId: string): Promise<void> {
  const answer = await ask<{ readonly steps: readonly Readonly<Record<string, unknown>>[] }>(
    target,
    `/explain/${encodeURIComponent(requestId)}`,
  );
  print(target.json ? [JSON.stringify(answer)] : answer.steps.map((step) => JSON.stringify(step)));
}
