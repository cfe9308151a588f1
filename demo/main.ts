/**
 * Shows the real programs at work.
 *
 * @module
 */

console.log("demo: not built yet");
