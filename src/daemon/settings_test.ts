import { expect, test } from "vitest";
import { environmentOf, flagOf, readSettings, SETTINGS } from "./settings.ts";

const DIGEST = "0".repeat(64);
const REQUIRED = {
  JACKDAWSHIFT_FAILURE_DOMAIN: "nave-leon",
  JACKDAWSHIFT_LOG_URL: "http://127.0.0.1:1",
  JACKDAWSHIFT_HOST_LIST_URL: "http://127.0.0.1:2",
  JACKDAWSHIFT_PEER_SECRET: "0123456789abcdef",
  JACKDAWSHIFT_OPERATOR_KEYS: `ana:${DIGEST}`,
};

test("a flag overrides the environment, which overrides the default", () => {
  const settings = readSettings({
    flags: { callerPort: "1" },
    environment: {
      ...REQUIRED,
      JACKDAWSHIFT_CALLER_PORT: "2",
      JACKDAWSHIFT_PEER_PORT: "3",
    },
  });
  expect([settings.callerPort, settings.peerPort, settings.operatorPort])
    .toEqual([1, 3, 8081]);
  expect(settings.operatorKeys).toEqual([{ name: "ana", digest: DIGEST }]);
});

test.each([
  ["callerPort", "70000", /--caller-port .*"70000".*0 to 65535/],
  ["callerPort", "x", /--caller-port .*"x"/],
  ["logUrl", "ftp://x", /--log-url .*"ftp:\/\/x".*http/],
  ["logLevel", "loud", /--log-level .*"loud".*debug/],
])(
  "the error of an invalid %s names the flag, the value and the allowed values",
  (name, value, message) => {
    expect(() =>
      readSettings({ flags: { [name]: value }, environment: REQUIRED })
    ).toThrow(message);
  },
);

test("a secret is read from the environment only and never shown", () => {
  const wrong = { ...REQUIRED, JACKDAWSHIFT_PEER_SECRET: "short" };
  expect(() =>
    readSettings({
      flags: { peerSecret: "0123456789abcdef" },
      environment: wrong,
    })
  )
    .toThrow(/^JACKDAWSHIFT_PEER_SECRET: the value given is wrong/);
});

test("the description of each duration and size names its unit", () => {
  for (const [name, definition] of Object.entries(SETTINGS)) {
    const unit = /(Ms|Bytes)$/.exec(name)?.[1];
    if (unit === "Ms") expect(definition.description).toContain("milliseconds");
    if (unit === "Bytes") expect(definition.description).toContain("bytes");
  }
  expect(flagOf("maxBodyBytes")).toBe("--max-body-bytes");
  expect(environmentOf("maxBodyBytes")).toBe("JACKDAWSHIFT_MAX_BODY_BYTES");
});
