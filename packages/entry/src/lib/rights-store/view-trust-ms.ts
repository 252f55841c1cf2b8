/** How long what is known of the store's side is used before it is looked at again, in ms. */
export const viewTrustMs = 2500;
