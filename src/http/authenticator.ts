/**
 * Authentication by bearer keys. Only SHA-256 digests of keys are kept; the
 * digest of a presented key is looked up and compared in constant time.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Ok } from "ts-results-es";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { Config } from "../config/schema.ts";
import type { IConfigService } from "../config/services.ts";

/** A name and the digest of a key that proves it. */
export interface KeyEntry {
  readonly name: string;
  /** SHA-256 in hexadecimal. */
  readonly digest: string;
}

/** Tells who sent a request. */
export interface Authenticator {
  authenticate(request: IncomingMessage): Outcome<string>;
}

/** The SHA-256 digest of a key, in hexadecimal. */
export function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Authenticates against a table of keys. */
export class KeyAuthenticator implements Authenticator {
  readonly #byDigest: Map<string, KeyEntry>;

  constructor(options: { readonly keys: readonly KeyEntry[] }) {
    this.#byDigest = new Map(
      options.keys.map((entry) => [entry.digest, entry]),
    );
  }

  authenticate(request: IncomingMessage): Outcome<string> {
    const key = bearerKey(request);
    if (key === undefined) {
      return notRun("unauthorized", "the request carries no bearer key");
    }
    const digest = digestKey(key);
    const entry = this.#byDigest.get(digest);
    if (entry === undefined || !digestsEqual(entry.digest, digest)) {
      return notRun("unauthorized", "the bearer key is not known");
    }
    return new Ok(entry.name);
  }
}

/** Authenticates customers by the keys of the configuration in force. */
export class CustomerAuthenticator implements Authenticator {
  readonly #config: IConfigService;
  #keysConfig: Config | undefined;
  #keys = new KeyAuthenticator({ keys: [] });

  constructor(options: { readonly config: IConfigService }) {
    this.#config = options.config;
  }

  authenticate(request: IncomingMessage): Outcome<string> {
    const config = this.#config.state.config;
    if (config !== this.#keysConfig) {
      this.#keys = new KeyAuthenticator({ keys: customerKeys(config) });
      this.#keysConfig = config;
    }
    return this.#keys.authenticate(request);
  }
}

function customerKeys(config: Config): KeyEntry[] {
  return Object.entries(config.customers).flatMap(([name, customer]) =>
    customer.keyDigests.map((digest) => ({ name, digest }))
  );
}

function bearerKey(request: IncomingMessage): string | undefined {
  return /^Bearer +(\S+)$/i.exec(request.headers.authorization ?? "")?.[1];
}

function digestsEqual(left: string, right: string): boolean {
  return left.length === right.length &&
    timingSafeEqual(Buffer.from(left), Buffer.from(right));
}
