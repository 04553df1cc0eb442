/**
 * Links between daemons that can be cut: every daemon reaches every other through a
 * fault-injecting proxy of its own, so that each direction of each pair can fail alone.
 */
import { FaultProxy } from '@baobabline/stand-ins';
import type { DirectionFault } from '@baobabline/stand-ins';
import { createServer } from 'node:net';
import process from 'node:process';

import type { DaemonSettings } from './daemon-process.js';

type MeshLink = { readonly from: number; readonly to: number; readonly proxy: FaultProxy };

const LOOPBACK = '127.0.0.1';

/**
 * The ports of daemons are told to the others before the daemons listen there. Ports that the
 * operating system gives out, as for outgoing connections, could be taken by another process
 * meanwhile; those below its range are taken only by who names them. Each process begins elsewhere.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 64;
const PROCESS_BLOCKS = 350;

let nextPort = FIRST_PORT + (process.pid % PROCESS_BLOCKS) * PORTS_PER_PROCESS;

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const free = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => resolve(true));
  });
  if (!free) return false;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return true;
}

async function findFreePort(): Promise<number> {
  const port = nextPort;
  nextPort += 1;
  return (await isFree(port)) ? port : findFreePort();
}

export class PartitionMesh {
  readonly #ports: readonly number[];

  readonly #links: readonly MeshLink[];

  private constructor(ports: readonly number[], links: readonly MeshLink[]) {
    this.#ports = ports;
    this.#links = links;
  }

  static async create(size: number): Promise<PartitionMesh> {
    const indexes = Array.from({ length: size }, (_, index) => index);
    const ports = await Promise.all(indexes.map(findFreePort));
    const links = indexes.flatMap((from) =>
      indexes
        .filter((to) => to !== from)
        .map((to) => ({
          from,
          to,
          proxy: new FaultProxy({ address: LOOPBACK, port: ports[to] as number }),
        })),
    );
    await Promise.all(links.map(({ proxy }) => proxy.start()));
    return new PartitionMesh(ports, links);
  }

  /** What the daemon with this index needs in its settings. */
  buildSettings(index: number): Partial<DaemonSettings> {
    const own = this.#links.filter(({ from }) => from === index);
    return {
      peers: { address: LOOPBACK, port: this.#ports[index] as number },
      connectOverrides: own.map(({ to, proxy }) => ({
        from: { address: LOOPBACK, port: this.#ports[to] as number },
        to: { address: LOOPBACK, port: proxy.port },
      })),
    };
  }

  /** Cuts all links between the daemons below `boundary` and the rest, both ways. */
  split(boundary: number): void {
    this.#setFault(({ from, to }) => from < boundary !== to < boundary, 'drop');
  }

  /** Lets nothing through that one daemon starts to say to another. */
  dropOneWay(fromIndex: number, toIndex: number): void {
    this.#setFault(({ from, to }) => from === fromIndex && to === toIndex, 'drop');
  }

  reset(): void {
    this.#setFault(() => true, 'none');
  }

  async stop(): Promise<void> {
    await Promise.all(this.#links.map(({ proxy }) => proxy.stop()));
  }

  #setFault(matches: (link: MeshLink) => boolean, fault: DirectionFault): void {
    this.#links.filter(matches).forEach(({ proxy }) => {
      proxy.setFault('forward', fault);
      proxy.setFault('backward', fault);
    });
  }
}
