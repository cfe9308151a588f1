import { readFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { afterAll, beforeAll, expect, test } from "vitest";
import { documentFor, LocalFleet, OPERATOR_KEY } from "./local_fleet.ts";

const CALLER = { customer: "cooperativa", key: "caller-key" };
const page = readFileSync(new URL("../docs/API.md", import.meta.url), "utf8");
const blocks = [...page.matchAll(/```sh\n# (\d{3})\n(curl .+)\n```/g)];

let fleet: LocalFleet;

beforeAll(async () => {
  fleet = new LocalFleet({
    hostCount: 1,
    engines: [{ name: "etapa-a", first: 0, end: 4, tokenMs: 1 }],
    services: ["mostrador-1", "mostrador-2"],
  });
  await fleet.start();
  await fleet.waitForVersion(
    await fleet.apply(documentFor(fleet, {
      pipeline: "escriba",
      layerCount: 4,
      stages: [{ first: 0, end: 4, targets: ["etapa-a"] }],
      service: "mostrador",
      callers: [CALLER],
    })),
  );
});

afterAll(() => fleet.stop());

test("the API page contains curl examples", () => {
  expect(blocks.length).toBeGreaterThan(15);
});

test.each(blocks.map(([, status, line]) => ({ status: Number(status), line })))(
  "$status $line",
  async ({ status, line }) => {
    const answer = await send(parseCurl(line));
    expect(answer, answer.body).toMatchObject({ status });
    const isProblem = status >= 400;
    expect(answer.contentType.includes("problem+json")).toBe(isProblem);
  },
);

interface CurlRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: string;
}

/** Parses the curl options that the page uses: -X, -d and -H. */
function parseCurl(line: string): CurlRequest {
  const words = [...line.matchAll(/'([^']*)'|"([^"]*)"|(\S+)/g)]
    .map(([, single, double, bare]) => single ?? expand(double ?? bare));
  const headers: [string, string][] = [];
  let [method, url, body] = ["GET", "", ""];
  for (let at = 1; at < words.length; at++) {
    if (words[at] === "-X") method = words[++at];
    else if (words[at] === "-d") body = words[++at];
    else if (words[at] === "-H") headers.push(splitHeader(words[++at]));
    else url = words[at];
  }
  return { method, url, headers, body };
}

function expand(word: string): string {
  const [host] = fleet.hosts;
  const values: Readonly<Record<string, string>> = {
    CALLER_URL: host.callerUrl,
    OPERATOR_URL: host.operatorUrl,
    CALLER_KEY: CALLER.key,
    OPERATOR_KEY,
  };
  return word.replace(/\$([A-Z_]+)/g, (_match, name: string) => values[name]);
}

function splitHeader(header: string): [string, string] {
  const at = header.indexOf(":");
  return [header.slice(0, at), header.slice(at + 1).trim()];
}

function send(
  { method, url, headers, body }: CurlRequest,
): Promise<{ status: number; contentType: string; body: string }> {
  return new Promise((resolve, reject) => {
    const request = httpRequest(url, {
      method,
      headers: Object.fromEntries(headers),
    });
    request.on("error", reject);
    request.on("response", (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (chunk) => text += chunk);
      response.on("end", () => {
        const contentType = response.headers["content-type"] ?? "";
        resolve({ status: response.statusCode ?? 0, contentType, body: text });
      });
    });
    request.end(body);
  });
}
