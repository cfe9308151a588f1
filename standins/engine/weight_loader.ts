/**
 * Loads layers from the weight store, again and again until it succeeds.
 *
 * @module
 */

import { get } from "node:http";
import { sleep } from "../common/server.ts";
import type { LoadedModel } from "./model_holder.ts";

const RETRY_INTERVAL_MS = 200;

export interface WeightLoaderOptions {
  /** Base URL of the store; empty to load at once. */
  readonly storeUrl: string;
  readonly layerBytes: number;
}

/** A function that resolves when the weights of a span have been read. */
export function weightLoader(
  options: WeightLoaderOptions,
): (loaded: LoadedModel, signal: AbortSignal) => Promise<void> {
  return async (loaded, signal) => {
    if (options.storeUrl === "") return;
    const sizeBytes = (loaded.end - loaded.first) * options.layerBytes;
    const path =
      `/weights/${loaded.model}/${loaded.version}?bytes=${sizeBytes}`;
    const url = new URL(path, options.storeUrl);
    while (!await read(url, signal)) await sleep(RETRY_INTERVAL_MS);
  };
}

function read(url: URL, signal: AbortSignal): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const request = get(url, { signal }, (response) => {
      response.resume();
      response.once("close", () => resolve(response.statusCode === 200));
    });
    request.once("error", () => {
      if (signal.aborted) reject(new Error("a later order replaced this one"));
      else resolve(false);
    });
  });
}
