/**
 * Bodies of completion requests and responses in the format of the OpenAI API.
 * Unknown members are ignored, since clients of that API send many.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { z } from "zod";
import { notRun, type Outcome } from "../common/verdict.ts";

const common = {
  model: z.string().min(1).max(63),
  max_tokens: z.int().min(1).max(131_072).optional(),
  stream: z.boolean().default(false),
  n: z.literal(1).optional(),
};

const textSchema = z.object({ ...common, prompt: z.string() });
const chatSchema = z.object({
  ...common,
  messages: z.array(z.object({
    role: z.enum(["system", "user", "assistant"]),
    content: z.string(),
  })).min(1),
});

/** The endpoint that the caller used: text or chat completions. */
export type CompletionKind = "text" | "chat";

export interface CompletionBody {
  readonly kind: CompletionKind;
  readonly pipeline: string;
  readonly prompt: string;
  /** Undefined if the caller sets no limit. */
  readonly maxTokens: number | undefined;
  readonly stream: boolean;
}

/** Validates a parsed JSON body. */
export function parseCompletionBody(
  kind: CompletionKind,
  json: unknown,
): Outcome<CompletionBody> {
  const parsed = kind === "text"
    ? textSchema.safeParse(json)
    : chatSchema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return notRun(
      "bad-request",
      `${issue.path.join(".") || "body"}: ${issue.message}`,
    );
  }
  const body = parsed.data;
  return new Ok({
    kind,
    pipeline: body.model,
    prompt: "prompt" in body ? body.prompt : formatChat(body.messages),
    maxTokens: body.max_tokens,
    stream: body.stream,
  });
}

/** The JSON document of a response that is not streamed. */
export function completionDocument(
  kind: CompletionKind,
  completion: {
    readonly id: string;
    readonly model: string;
    readonly text: string;
    readonly finishReason: string;
    readonly tokenCount: number;
  },
): unknown {
  const content = kind === "text"
    ? { text: completion.text }
    : { message: { role: "assistant", content: completion.text } };
  return {
    id: completion.id,
    object: kind === "text" ? "text_completion" : "chat.completion",
    model: completion.model,
    choices: [{ index: 0, ...content, finish_reason: completion.finishReason }],
    usage: { completion_tokens: completion.tokenCount },
  };
}

/** Returns a formatter of stream events; the constant part is serialized only once. */
export function createEventFormatter(
  kind: CompletionKind,
  completion: { readonly id: string; readonly model: string },
): (text: string, finishReason: string | null) => string {
  const object = kind === "text" ? "text_completion" : "chat.completion.chunk";
  const eventPrefix = `data: ${
    JSON.stringify({ id: completion.id, object, model: completion.model })
      .slice(0, -1)
  },"choices":[{"index":0,`;
  return (text, finishReason) => {
    const content = kind === "text"
      ? `"text":${JSON.stringify(text)}`
      : `"delta":{"content":${JSON.stringify(text)}}`;
    return `${eventPrefix}${content},"finish_reason":${
      JSON.stringify(finishReason)
    }}]}\n\n`;
  };
}

function formatChat(
  messages: readonly { role: string; content: string }[],
): string {
  return messages.map((message) => `${message.role}: ${message.content}`).join(
    "\n",
  );
}
