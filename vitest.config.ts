import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["{src,platform,standins,measure,test,soak}/**/*_test.ts"],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    reporters: ["default"],
    // Its module build imports a directory, which Node.js does not resolve.
    server: { deps: { inline: ["clipanion"] } },
  },
});
