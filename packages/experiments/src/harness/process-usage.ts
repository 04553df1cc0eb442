/**
 * Processor time and memory of a process that this tool has started, from /proc.
 */
import { readFile } from 'node:fs/promises';

const TICKS_PER_SECOND = 100;
const KB_PER_MB = 1024;
const USER_TIME_FIELD = 11;
const NS_PER_MS = 1_000_000;

/** Processor seconds, user and system, that a process has used. */
export async function readCpuSeconds(pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const [user = '0', system = '0'] = fields.slice(USER_TIME_FIELD, USER_TIME_FIELD + 2);
  return (Number(user) + Number(system)) / TICKS_PER_SECOND;
}

/** Milliseconds for which a process was ready to run and other processes had the processors. */
export async function readWithheldMs(pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/schedstat`, 'utf8');
  return Number(text.split(' ')[1]) / NS_PER_MS;
}

/** Resident memory of a process in megabytes. */
export async function readResidentMb(pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/status`, 'utf8');
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(text);
  return Math.round(Number(match?.[1] ?? 0) / KB_PER_MB);
}
