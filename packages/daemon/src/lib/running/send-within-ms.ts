/** How long a runner may take from its claim to sending, in ms. */
export const sendWithinMs = 3000;
