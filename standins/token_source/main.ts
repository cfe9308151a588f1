/**
 * Stand-in for an engine that computes nothing: it holds a whole model and
 * gives each stream one ready-made token at a fixed interval. It exists to
 * measure what a host spends on a token.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import {
  chainSignature,
  type EngineState,
  type GenerateRequest,
} from "../../src/clients/types.ts";
import { announce, numberFlag, readFlags } from "../common/program.ts";

const flags = readFlags({
  target: "source",
  model: "model",
  version: "v1",
  layers: "8",
  "gap-ms": "30",
});
const gapMs = numberFlag("gap-ms", flags["gap-ms"], 1);
const layerCount = numberFlag("layers", flags.layers, 1);

interface Stream {
  readonly response: ServerResponse;
  readonly attemptId: string;
  readonly ran: string;
  readonly maxTokens: number;
  next: number;
}

const streams = new Set<Stream>();
setInterval(() => {
  for (const stream of streams) sendNextToken(stream);
}, gapMs);

const server = createServer((request, response) => {
  void serve(request, response);
});
server.listen(0, "127.0.0.1", () => {
  announce(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
});

async function serve(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  if (request.url === "/v1/generate") {
    return startStream(Buffer.concat(chunks), response);
  }
  response.setHeader("content-type", "application/json");
  response.end(
    JSON.stringify(request.method === "GET" ? publishedState() : {}),
  );
}

function startStream(body: Buffer, response: ServerResponse): void {
  const asked: GenerateRequest = JSON.parse(body.toString("utf8"));
  const stream = {
    response,
    attemptId: asked.attemptId,
    ran: chainSignature(asked.chain),
    maxTokens: asked.maxTokens,
    next: asked.generated.length,
  };
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.on("close", () => streams.delete(stream));
  streams.add(stream);
  sendNextToken(stream);
}

function sendNextToken(stream: Stream): void {
  const { response, attemptId, ran, maxTokens } = stream;
  const index = stream.next++;
  const token = { attemptId, index, id: index, text: " token", ran };
  response.write(`event: token\ndata: ${JSON.stringify(token)}\n\n`);
  if (stream.next < maxTokens) return;
  streams.delete(stream);
  const end = { attemptId, tokenCount: maxTokens, reason: "length" };
  response.end(`event: end\ndata: ${JSON.stringify(end)}\n\n`);
}

function publishedState(): EngineState {
  return {
    target: flags.target,
    model: flags.model,
    version: flags.version,
    adapters: [],
    role: "both",
    first: 0,
    end: layerCount,
    generation: 1,
    fence: 0,
    leaving: false,
    loading: false,
    load: { running: streams.size, queued: 0, asOfWallMs: Date.now() },
  };
}
