/**
 * The upstreams of the path experiment in a thread of their own, so that they do not compete with
 * the load for one core.
 */
import { UpstreamStandIn } from '@baobabline/stand-ins';
import type { UpstreamSettings } from '@baobabline/stand-ins';
import { parentPort, Worker, workerData } from 'node:worker_threads';

export type StartedUpstream = { readonly id: string; readonly port: number };

/** Runs of operations, summed over the upstreams. */
export type OperationRuns = { readonly operation: string; readonly runs: number };

type WorkerAnswer =
  | { readonly kind: 'started'; readonly upstreams: readonly StartedUpstream[] }
  | { readonly kind: 'runs'; readonly runs: readonly OperationRuns[] };

async function runWorker(settings: readonly UpstreamSettings[]): Promise<void> {
  const upstreams = settings.map((row) => new UpstreamStandIn(row));
  await Promise.all(upstreams.map((upstream) => upstream.start()));
  const started = upstreams.map(({ settings: { id }, port }) => ({ id, port }));
  parentPort?.postMessage({ kind: 'started', upstreams: started } satisfies WorkerAnswer);
  parentPort?.on('message', () => {
    const runs = upstreams.flatMap((upstream) => upstream.listRuns());
    parentPort?.postMessage({ kind: 'runs', runs } satisfies WorkerAnswer);
  });
}

/** Starts the thread; the first answer says where the upstreams listen. */
export class UpstreamWorker {
  readonly #worker: Worker;

  constructor(settings: readonly UpstreamSettings[]) {
    this.#worker = new Worker(new URL(import.meta.url), { workerData: settings });
  }

  async start(): Promise<readonly StartedUpstream[]> {
    const answer = await this.#waitForAnswer();
    return answer.kind === 'started' ? answer.upstreams : [];
  }

  async countRuns(): Promise<readonly OperationRuns[]> {
    this.#worker.postMessage('count');
    const answer = await this.#waitForAnswer();
    return answer.kind === 'runs' ? answer.runs : [];
  }

  async stop(): Promise<void> {
    await this.#worker.terminate();
  }

  async #waitForAnswer(): Promise<WorkerAnswer> {
    return new Promise((resolve, reject) => {
      this.#worker.once('message', resolve);
      this.#worker.once('error', reject);
    });
  }
}

if (parentPort && workerData) await runWorker(workerData as readonly UpstreamSettings[]);
