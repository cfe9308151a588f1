/**
 * Loopback addresses that belong to one process. The system gives a port of
 * 127.0.0.1 that one test has closed to the next one that asks, which then gets
 * the calls that were meant for the first.
 *
 * @module
 */

import process from "node:process";

/** Hosts of one process have the numbers up to this one. */
export const MAX_HOST_NUMBER = 250;
const SERVER_NUMBER = 251;

/** The address of a host of this process; `number` is 1 to `MAX_HOST_NUMBER`. */
export function hostIp(number: number): string {
  return addressOf(number);
}

/** The address on which the stand-in servers of this process listen. */
export const SERVER_IP = addressOf(SERVER_NUMBER);

function addressOf(number: number): string {
  const { pid } = process;
  return `127.${(pid >> 8) % 254 + 1}.${pid % 256}.${number}`;
}
