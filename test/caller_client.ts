/**
 * An HTTP client for the callers' interface, shared by the demo, the tests and
 * the load tool. It reads a stream to its explicit end and reports whether that
 * end was received.
 *
 * @module
 */

import { createParser } from "eventsource-parser";
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";

/** A completion request to a pipeline. */
export interface CompletionCall {
  readonly pipeline: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly requestId?: string;
}

/** A request to a plain service. */
export interface ServiceCall {
  readonly service: string;
  readonly path: string;
  readonly method?: string;
  /** Idempotency key. */
  readonly key?: string;
  readonly body?: unknown;
}

/** The answer to a completion, or its rejection. */
export interface CompletionAnswer {
  readonly status: number;
  readonly text: string;
  /** True only if the answer reached its explicit end. */
  readonly ended: boolean;
  readonly code?: string;
  readonly verdict?: string;
  readonly retryAfterS?: number;
}

/** The answer of a service, or a rejection by the host. */
export interface ServiceCallAnswer {
  readonly status: number;
  readonly body: unknown;
}

export interface CallerClientOptions {
  readonly baseUrl: string;
  readonly key: string;
  readonly agent?: Agent;
}

/** Sends one caller's requests to one host. */
export class CallerClient {
  readonly #options: CallerClientOptions;

  constructor(options: CallerClientOptions) {
    this.#options = options;
  }

  async complete(call: CompletionCall): Promise<CompletionAnswer> {
    const response = await this.#post(
      "/v1/completions",
      completionBody(call, false),
      call,
    );
    const text = await readText(response);
    return parseAnswer(response, text);
  }

  /** Streams an answer; `onText` is called with the text of each event. */
  async stream(
    call: CompletionCall,
    onText: (text: string) => void,
  ): Promise<CompletionAnswer> {
    const response = await this.#post(
      "/v1/completions",
      completionBody(call, true),
      call,
    );
    if (response.statusCode !== 200) {
      return parseAnswer(response, await readText(response));
    }
    let text = "";
    let ended = false;
    let failure: { readonly code?: string; readonly verdict?: string } = {};
    const parser = createParser({
      onEvent: ({ event, data }) => {
        if (event === "error") failure = JSON.parse(data).error;
        else if (data === "[DONE]") ended = true;
        else {
          const piece: string = JSON.parse(data).choices[0].text;
          text += piece;
          if (piece !== "") onText(piece);
        }
      },
    });
    const decoder = new TextDecoder();
    try {
      for await (const chunk of response) {
        parser.feed(decoder.decode(chunk, { stream: true }));
      }
    } catch {
      ended = false;
    }
    return {
      status: 200,
      text,
      ended,
      code: failure.code,
      verdict: failure.verdict,
    };
  }

  async call(call: ServiceCall): Promise<ServiceCallAnswer> {
    const headers: Record<string, string> = {
      "content-type": "application/json",
    };
    if (call.key !== undefined) headers["idempotency-key"] = call.key;
    const body = call.body === undefined ? "" : JSON.stringify(call.body);
    const response = await this.#send(call.method ?? "POST", {
      path: `/services/${call.service}${call.path}`,
      headers,
      body,
    });
    const text = await readText(response);
    return { status: response.statusCode ?? 0, body: parseJson(text) };
  }

  #post(
    path: string,
    body: string,
    call: CompletionCall,
  ): Promise<IncomingMessage> {
    const headers: Record<string, string> = {
      "content-type": "application/json",
    };
    if (call.requestId !== undefined) headers["x-request-id"] = call.requestId;
    return this.#send("POST", { path, headers, body });
  }

  #send(
    method: string,
    message: {
      path: string;
      headers: Readonly<Record<string, string>>;
      body: string;
    },
  ): Promise<IncomingMessage> {
    const { baseUrl, key, agent } = this.#options;
    return new Promise((resolve, reject) => {
      const options = {
        method,
        agent,
        headers: {
          ...message.headers,
          "content-length": Buffer.byteLength(message.body),
          authorization: `Bearer ${key}`,
        },
      };
      const request = httpRequest(
        `${baseUrl}${message.path}`,
        options,
        resolve,
      );
      request.on("error", reject);
      request.end(message.body);
    });
  }
}

function completionBody(call: CompletionCall, stream: boolean): string {
  const { pipeline, prompt, maxTokens } = call;
  return JSON.stringify({
    model: pipeline,
    prompt,
    max_tokens: maxTokens,
    stream,
  });
}

function parseAnswer(
  response: IncomingMessage,
  text: string,
): CompletionAnswer {
  const status = response.statusCode ?? 0;
  const body = parseJson(text) as Record<string, unknown> | undefined;
  const retryAfter = response.headers["retry-after"];
  if (status !== 200) {
    return {
      status,
      text: "",
      ended: false,
      code: body?.["code"] as string | undefined,
      verdict: body?.["verdict"] as string | undefined,
      retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
    };
  }
  const choices = body?.["choices"] as readonly { readonly text: string }[];
  return { status, text: choices[0].text, ended: true };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

async function readText(response: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}
