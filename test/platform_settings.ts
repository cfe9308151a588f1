/**
 * A sound settings file of the platform, for tests.
 *
 * @module
 */

export const SETTINGS = {
  "node-name": "edge-1",
  ip: "10.1.0.40",
  zone: "a",
  listen: { frontend: "10.1.0.40:8227", readiness: "10.1.0.40:8220" },
  "port-range": [7340, 7355],
  bounds: {
    "revoke-ms": 5_000,
    "drain-ms": 2_000,
    "grace-s": 8,
    "retry-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 202,
    stall_ms: 3_000,
  },
  platform: { address: "10.200.1.7:8223" },
};
