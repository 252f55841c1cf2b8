/** The unit in which hosts tell each other of pending prompt tokens: up to 127 units take one byte, and a wrong guess of half a unit is a few ms of an engine's time. */
export const promptUnitTokens = 256;
